use std::sync::Arc;

use anvilhub_coord::border::operator::{PeerState, SheetState, StateReport};
use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::time::ClockTime;
use crossbeam::channel::Sender;
use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::Server;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::entry_context::EntryContext;
use crate::fanout::{explain_route, upstream_states};
use crate::instance_lifecycle::LifecycleStage;

/// Maximum number of connections of operators and metric collectors together.
const MAX_CONNECTIONS: usize = 64;

/// HTTP server for operators and metric collectors.
pub(crate) struct OperatorServer {
    context: Arc<EntryContext>,
    metrics: PrometheusHandle,
    drain_sender: Sender<()>,
}

impl OperatorServer {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        metrics: PrometheusHandle,
        drain_sender: Sender<()>,
    ) -> Self {
        Self {
            context,
            metrics,
            drain_sender,
        }
    }

    /// Serves the operator address in the background until the process ends; oxhttp cannot stop a server.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub(crate) fn spawn(self) -> Result<()> {
        let address = self.context.settings.operator_address;
        Server::new(move |request| self.handle_request(request))
            .bind(address)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .spawn()
            .wrap_err_with(|| {
                format!(
                    "cannot listen on operator_address {address}; check that it is free and belongs to this instance"
                )
            })?;
        Ok(())
    }

    fn handle_request(&self, request: &Request<Body>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => text_response(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/ready") => self.answer_ready(),
            (&Method::GET, "/metrics") => text_response(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/state") => self.answer_state(),
            (&Method::GET, "/explain") => {
                self.answer_explain(request.uri().query().unwrap_or_default())
            }
            (&Method::POST, "/drain") => self.start_drain(),
            (_, path) => text_response(
                StatusCode::NOT_FOUND,
                format!("no resource at {path}; see docs/OPERATIONS.md\n"),
            ),
        }
    }

    fn answer_ready(&self) -> Response<Body> {
        let stage = self.context.stage.get();
        match (stage, self.context.is_confirmed()) {
            (LifecycleStage::Ready, true) => text_response(StatusCode::OK, "ready\n".to_owned()),
            (LifecycleStage::Ready, false) => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "confirming the sheet\n".to_owned(),
            ),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{stage}\n")),
        }
    }

    fn answer_state(&self) -> Response<Body> {
        let sheet = self.context.sheet.load_full();
        let now = self.context.clock.now();
        json_response(&StateReport {
            instance: self.context.settings.instance.clone(),
            failure_domain: self.context.settings.failure_domain.clone(),
            stage: self.context.stage.get().to_string(),
            sheet: sheet.map(|sheet| SheetState {
                version: sheet.version,
                digest: sheet.digest.to_string(),
            }),
            requests_in_flight: self.context.requests_in_flight() as u64,
            tickets: self.context.tickets.drain_report(now).total_count() as u64,
            peers: self.peer_states(now),
            upstreams: upstream_states(&self.context),
            alarms: self.context.configuration.alarms(),
        })
    }

    fn answer_explain(&self, parameters: &str) -> Response<Body> {
        let parameter = |name: &str| {
            let mut pairs = parameters
                .split('&')
                .filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let service = parameter("service").and_then(|service| service.parse().ok());
        let key = parameter("key").map(str::parse);
        let (Some(service), Ok(key)) = (service, key.transpose()) else {
            let usage = "use /explain?service=NAME, with &key=N for a single key\n";
            return text_response(StatusCode::BAD_REQUEST, usage.to_owned());
        };
        match explain_route(&self.context, &service, key) {
            Some(report) => json_response(&report),
            None => text_response(
                StatusCode::NOT_FOUND,
                format!("service `{service}` is not in the sheet in force\n"),
            ),
        }
    }

    fn peer_states(&self, now: ClockTime) -> Vec<PeerState> {
        let members = self.context.members();
        let peer_state = |peer: &InstanceId| PeerState {
            instance: peer.clone(),
            address: members.address(peer).map(|address| address.to_string()),
            state: members.state(peer, now).to_string(),
            sheet: None,
        };
        members.peers().map(peer_state).collect()
    }

    fn start_drain(&self) -> Response<Body> {
        // A full channel means that a drain was requested already.
        let _ = self.drain_sender.try_send(());
        text_response(StatusCode::ACCEPTED, "draining\n".to_owned())
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(body.into())
        .expect("a constant response head is valid")
}

fn json_response(document: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_string(document).expect("border types serialize to JSON");
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("a constant response head is valid")
}
