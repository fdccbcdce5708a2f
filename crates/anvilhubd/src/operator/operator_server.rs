use std::sync::Arc;

use crossbeam::channel::Sender;
use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::Server;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde_json::json;

use crate::context::EntryContext;
use crate::lifecycle::LifecycleStage;

/// Most operator connections at once.
const MAX_CONNECTIONS: usize = 64;

/// Answers operators and metric collectors.
pub(crate) struct OperatorServer {
    context: Arc<EntryContext>,
    metrics: PrometheusHandle,
    drain: Sender<()>,
}

impl OperatorServer {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        metrics: PrometheusHandle,
        drain: Sender<()>,
    ) -> Self {
        Self {
            context,
            metrics,
            drain,
        }
    }

    /// Binds the operator address and serves it until the process ends: oxhttp has no stop call.
    pub(crate) fn spawn(self) -> Result<()> {
        let address = self.context.settings.operator_address;
        Server::new(move |request| self.handle(request))
            .bind(address)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .spawn()
            .wrap_err_with(|| {
                format!("cannot listen on operator_address {address}; is it in use?")
            })?;
        Ok(())
    }

    fn handle(&self, request: &Request<Body>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => text(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/state") => self.state(),
            (&Method::POST, "/drain") => self.start_drain(),
            (_, path) => text(
                StatusCode::NOT_FOUND,
                format!("no resource at {path}; see docs/operations.md\n"),
            ),
        }
    }

    fn ready(&self) -> Response<Body> {
        let stage = self.context.stage.get();
        let status = match stage {
            LifecycleStage::Ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        text(status, format!("{stage}\n"))
    }

    fn state(&self) -> Response<Body> {
        let sheet = self.context.sheet.load();
        let state = json!({
            "instance": self.context.settings.instance,
            "failure_domain": self.context.settings.failure_domain,
            "stage": self.context.stage.get().to_string(),
            "sheet_version": sheet.as_ref().map(|sheet| sheet.version),
            "sheet_digest": sheet.as_ref().map(|sheet| sheet.digest),
            "requests_in_flight": self.context.requests_in_flight(),
        });
        Response::builder()
            .header(CONTENT_TYPE, "application/json")
            .body(state.to_string().into())
            .expect("a constant response head is valid")
    }

    fn start_drain(&self) -> Response<Body> {
        // A full channel means that a drain is under way.
        let _ = self.drain.try_send(());
        text(StatusCode::ACCEPTED, "draining\n".to_owned())
    }
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(body.into())
        .expect("a constant response head is valid")
}
