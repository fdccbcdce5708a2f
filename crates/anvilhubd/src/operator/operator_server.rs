use std::sync::Arc;

use anvilhub_coord::border::operator::{SheetState, StateReport};
use crossbeam::channel::Sender;
use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::Server;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::context::EntryContext;
use crate::fanout::{explain_route, upstream_states};
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
            (&Method::GET, "/explain") => self.explain(request.uri().query().unwrap_or_default()),
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
        let sheet = self.context.sheet.load_full();
        let now = self.context.clock.now();
        json(&StateReport {
            instance: self.context.settings.instance.clone(),
            failure_domain: self.context.settings.failure_domain.clone(),
            stage: self.context.stage.get().to_string(),
            sheet: sheet.map(|sheet| SheetState {
                version: sheet.version,
                digest: sheet.digest.to_string(),
            }),
            requests_in_flight: self.context.requests_in_flight() as u64,
            tickets: self.context.tickets.drain_report(now).owned() as u64,
            peers: Vec::new(),
            upstreams: upstream_states(&self.context),
            alarms: Vec::new(),
        })
    }

    /// Explains a route; `query` is `service=NAME` or `service=NAME&key=N`.
    fn explain(&self, query: &str) -> Response<Body> {
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(found, _)| *found == name)
                .map(|(_, value)| value)
        };
        let key = field("key").map(str::parse).transpose();
        let service = field("service").and_then(|service| service.parse().ok());
        let (Some(service), Ok(key)) = (service, key) else {
            let remedy = "name a service and perhaps a key: /explain?service=NAME&key=N\n";
            return text(StatusCode::BAD_REQUEST, remedy.to_owned());
        };
        match explain_route(&self.context, &service, key) {
            Some(report) => json(&report),
            None => text(
                StatusCode::NOT_FOUND,
                format!("service `{service}` is not in the sheet in force\n"),
            ),
        }
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

fn json(document: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_string(document).expect("border types serialize to JSON");
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("a constant response head is valid")
}
