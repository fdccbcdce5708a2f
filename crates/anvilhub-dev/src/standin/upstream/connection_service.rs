use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{CancelRequest, SubAnswer, SubRequest};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use super::connection_guard::ConnectionGuard;
use super::replica_server::ReplicaServer;
use super::sub_request_task::{SubRequestTask, TaskOutcome};
use super::{FaultKind, InjectedFault, SilenceMode};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Error that makes hyper close the connection without an answer.
#[derive(Debug, Display, Error)]
#[display("the stand-in drops this connection as commanded")]
pub(crate) struct ConnectionDropped;

type Reply = Response<Full<Bytes>>;

/// Handles the requests of one connection.
pub(crate) struct ConnectionService {
    server: Arc<ReplicaServer>,
    guard: ConnectionGuard,
}

impl ConnectionService {
    pub(crate) fn new(server: Arc<ReplicaServer>, guard: ConnectionGuard) -> Self {
        Self { server, guard }
    }

    /// Handles a request, subject to the opening time, a freeze and the silence of the connection.
    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Reply, ConnectionDropped> {
        sleep_until(self.guard.usable_at).await;
        self.server.wait_until_thawed().await;
        let silence = self.server.state().silence_mode(self.guard.number);
        if silence == Some(SilenceMode::LoseRequest) {
            return self.never_answer().await;
        }
        let reply = self.route(request).await;
        self.server.wait_until_thawed().await;
        if self
            .server
            .state()
            .silence_mode(self.guard.number)
            .is_some()
        {
            return self.never_answer().await;
        }
        reply
    }

    /// Counts a request on a silent connection and never returns.
    async fn never_answer(&self) -> Result<Reply, ConnectionDropped> {
        self.server.state().counts.silenced += 1;
        pending().await
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Reply, ConnectionDropped> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/query") => match read_body(body).await {
                Ok(request) => self.run_query(request).await,
                Err(refusal) => Ok(refusal),
            },
            (&Method::POST, "/cancel") => match read_body::<CancelRequest>(body).await {
                Ok(request) => {
                    let cancelled = self.server.state().cancel(&request.request_id);
                    Ok(json_reply(
                        StatusCode::OK,
                        &json!({ "cancelled": cancelled }),
                    ))
                }
                Err(refusal) => Ok(refusal),
            },
            (&Method::GET, "/health") => Ok(self.health_reply()),
            (&Method::GET, "/load") => Ok(self.load_reply()),
            (method, path) => {
                let message = format!("an upstream does not serve {method} {path}");
                Ok(error_reply(StatusCode::NOT_FOUND, &message))
            }
        }
    }

    /// Runs a sub-request and builds the response to it.
    async fn run_query(&self, request: SubRequest) -> Result<Reply, ConnectionDropped> {
        let task = SubRequestTask::new(Arc::clone(&self.server), request);
        match tokio::spawn(task.run()).await {
            Ok(TaskOutcome::Answered(answer, fault)) => self.build_response(answer, fault).await,
            Ok(TaskOutcome::Refused(refusal)) => {
                Ok(json_reply(StatusCode::SERVICE_UNAVAILABLE, &refusal))
            }
            Ok(TaskOutcome::Lost) | Err(_) => Err(ConnectionDropped),
        }
    }

    /// Builds the response from the answer and injects the fault, if there is one.
    async fn build_response(
        &self,
        answer: SubAnswer,
        fault: Option<InjectedFault>,
    ) -> Result<Reply, ConnectionDropped> {
        let previous = self.server.state().last_answer.replace(answer.clone());
        let Some(fault) = fault else {
            return Ok(json_reply(StatusCode::OK, &answer));
        };
        match fault.kind {
            FaultKind::Junk => Ok(bytes_reply(StatusCode::OK, vec![b'#'; fault.bytes])),
            FaultKind::RawJunk => {
                self.guard
                    .injector
                    .replace_response(vec![b'#'; fault.bytes]);
                Ok(json_reply(StatusCode::OK, &answer))
            }
            FaultKind::Crossed => Ok(json_reply(
                StatusCode::OK,
                &crossed_answer(answer, previous),
            )),
            FaultKind::Oversized => Ok(json_reply(
                StatusCode::OK,
                &oversized_answer(answer, fault.bytes),
            )),
            FaultKind::Late => {
                sleep(Duration::from_millis(fault.delay_ms)).await;
                Ok(json_reply(StatusCode::OK, &answer))
            }
            FaultKind::Doubled => {
                self.guard
                    .injector
                    .append_to_response(raw_response(&answer));
                Ok(json_reply(StatusCode::OK, &answer))
            }
            FaultKind::WrongSnapshot => {
                let snapshot = (answer.snapshot.get() + 1).into();
                Ok(json_reply(
                    StatusCode::OK,
                    &SubAnswer { snapshot, ..answer },
                ))
            }
            FaultKind::EffectThenDrop | FaultKind::DropBefore => Err(ConnectionDropped),
        }
    }

    fn health_reply(&self) -> Reply {
        let state = self.server.state();
        let reports = state.lagged_reports(Instant::now());
        reply_with_overrides(&reports.health, &state.settings.health_override)
    }

    fn load_reply(&self) -> Reply {
        let state = self.server.state();
        let reports = state.lagged_reports(Instant::now());
        reply_with_overrides(&reports.load, &state.settings.load_override)
    }
}

/// Returns the previous answer of the replica. If there is none, returns `answer` with a made-up request id.
fn crossed_answer(answer: SubAnswer, previous: Option<SubAnswer>) -> SubAnswer {
    previous.unwrap_or_else(|| {
        let request_id = "crossed".parse().unwrap_or(answer.request_id.clone());
        SubAnswer {
            request_id,
            ..answer
        }
    })
}

/// Replaces the value of the first row with one of `bytes` bytes.
fn oversized_answer(mut answer: SubAnswer, bytes: usize) -> SubAnswer {
    if let Some(row) = answer.rows.first_mut() {
        row.value = "x".repeat(bytes);
    }
    answer
}

/// Encodes the answer as a complete HTTP response, to send it a second time on the connection.
fn raw_response(answer: &SubAnswer) -> Vec<u8> {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body].concat()
}

/// Builds the response with `report`, in which `overrides` replace fields of the same name.
fn reply_with_overrides(report: &impl Serialize, overrides: &Map<String, Value>) -> Reply {
    let mut value = serde_json::to_value(report).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.extend(overrides.clone());
    }
    json_reply(StatusCode::OK, &value)
}

async fn read_body<T: DeserializeOwned>(incoming: Incoming) -> Result<T, Reply> {
    let collected = Limited::new(incoming, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|cause| error_reply(StatusCode::PAYLOAD_TOO_LARGE, &cause.to_string()))?;
    serde_json::from_slice(&collected.to_bytes())
        .map_err(|cause| error_reply(StatusCode::BAD_REQUEST, &cause.to_string()))
}

fn error_reply(status: StatusCode, message: &str) -> Reply {
    json_reply(status, &json!({ "error": message }))
}

fn json_reply(status: StatusCode, value: &impl Serialize) -> Reply {
    bytes_reply(status, serde_json::to_vec(value).unwrap_or_default())
}

fn bytes_reply(status: StatusCode, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
