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

use super::connection_gate::ConnectionGate;
use super::replica_server::ReplicaServer;
use super::work_run::{WorkEnd, WorkRun};
use super::{AnswerFault, FaultKind, SilenceMode};

/// Longest request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Ends a connection without an answer.
#[derive(Debug, Display, Error)]
#[display("the stand-in drops this connection as commanded")]
pub(crate) struct DroppedAnswer;

type Reply = Response<Full<Bytes>>;

/// Answers the requests of one connection.
pub(crate) struct SubService {
    server: Arc<ReplicaServer>,
    gate: ConnectionGate,
}

impl SubService {
    pub(crate) fn new(server: Arc<ReplicaServer>, gate: ConnectionGate) -> Self {
        Self { server, gate }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Result<Reply, DroppedAnswer> {
        sleep_until(self.gate.usable_at).await;
        self.server.thawed().await;
        let silence = self.server.state().silence_of(self.gate.number);
        if silence == Some(SilenceMode::LoseRequest) {
            return self.stay_silent().await;
        }
        let reply = self.route(request).await;
        self.server.thawed().await;
        if self.server.state().silence_of(self.gate.number).is_some() {
            return self.stay_silent().await;
        }
        reply
    }

    async fn stay_silent(&self) -> Result<Reply, DroppedAnswer> {
        self.server.state().counts.silenced += 1;
        pending().await
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Reply, DroppedAnswer> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/query") => match read_body(body).await {
                Ok(request) => self.query(request).await,
                Err(refusal) => Ok(refusal),
            },
            (&Method::POST, "/cancel") => match read_body::<CancelRequest>(body).await {
                Ok(request) => {
                    let cancelled = self.server.state().cancel(&request.request_id);
                    Ok(reply(StatusCode::OK, &json!({ "cancelled": cancelled })))
                }
                Err(refusal) => Ok(refusal),
            },
            (&Method::GET, "/health") => Ok(self.health()),
            (&Method::GET, "/load") => Ok(self.load()),
            _ => Ok(error(
                StatusCode::NOT_FOUND,
                "no such endpoint of an upstream",
            )),
        }
    }

    async fn query(&self, request: SubRequest) -> Result<Reply, DroppedAnswer> {
        let run = WorkRun::new(Arc::clone(&self.server), request);
        match tokio::spawn(run.run()).await {
            Ok(WorkEnd::Answered(answer, fault)) => self.answer(answer, fault).await,
            Ok(WorkEnd::Refused(refusal)) => Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &refusal)),
            Ok(WorkEnd::Lost) | Err(_) => Err(DroppedAnswer),
        }
    }

    async fn answer(
        &self,
        answer: SubAnswer,
        fault: Option<AnswerFault>,
    ) -> Result<Reply, DroppedAnswer> {
        let previous = self.server.state().last_answer.replace(answer.clone());
        let Some(fault) = fault else {
            return Ok(reply(StatusCode::OK, &answer));
        };
        match fault.kind {
            FaultKind::Junk => Ok(body(StatusCode::OK, vec![b'#'; fault.bytes])),
            FaultKind::RawJunk => {
                self.gate.plan.replace(vec![b'#'; fault.bytes]);
                Ok(reply(StatusCode::OK, &answer))
            }
            FaultKind::Crossed => Ok(reply(StatusCode::OK, &crossed(answer, previous))),
            FaultKind::Oversized => Ok(reply(StatusCode::OK, &oversized(answer, fault.bytes))),
            FaultKind::Late => {
                sleep(Duration::from_millis(fault.delay_ms)).await;
                Ok(reply(StatusCode::OK, &answer))
            }
            FaultKind::Doubled => {
                self.gate.plan.append(raw_response(&answer));
                Ok(reply(StatusCode::OK, &answer))
            }
            FaultKind::WrongSnapshot => {
                let snapshot = (answer.snapshot.get() + 1).into();
                Ok(reply(StatusCode::OK, &SubAnswer { snapshot, ..answer }))
            }
            FaultKind::EffectThenDrop | FaultKind::DropBefore => Err(DroppedAnswer),
        }
    }

    fn health(&self) -> Reply {
        let state = self.server.state();
        let shown = state.shown_reports(Instant::now());
        overridden(&shown.health, &state.settings.health_override)
    }

    fn load(&self) -> Reply {
        let state = self.server.state();
        let shown = state.shown_reports(Instant::now());
        overridden(&shown.load, &state.settings.load_override)
    }
}

/// The previous answer of the replica; the first answer gets a made-up request id instead.
fn crossed(answer: SubAnswer, previous: Option<SubAnswer>) -> SubAnswer {
    previous.unwrap_or_else(|| {
        let request_id = "crossed".parse().unwrap_or(answer.request_id.clone());
        SubAnswer {
            request_id,
            ..answer
        }
    })
}

fn oversized(mut answer: SubAnswer, bytes: usize) -> SubAnswer {
    if let Some(row) = answer.rows.first_mut() {
        row.value = "x".repeat(bytes);
    }
    answer
}

/// A whole HTTP response, to send once more on the same connection.
fn raw_response(answer: &SubAnswer) -> Vec<u8> {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body].concat()
}

fn overridden(report: &impl Serialize, fields: &Map<String, Value>) -> Reply {
    let mut value = serde_json::to_value(report).unwrap_or_default();
    if let Value::Object(map) = &mut value {
        map.extend(fields.clone());
    }
    reply(StatusCode::OK, &value)
}

async fn read_body<T: DeserializeOwned>(incoming: Incoming) -> Result<T, Reply> {
    let collected = Limited::new(incoming, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|cause| error(StatusCode::PAYLOAD_TOO_LARGE, &cause.to_string()))?;
    serde_json::from_slice(&collected.to_bytes())
        .map_err(|cause| error(StatusCode::BAD_REQUEST, &cause.to_string()))
}

fn error(status: StatusCode, message: &str) -> Reply {
    reply(status, &json!({ "error": message }))
}

fn reply(status: StatusCode, value: &impl Serialize) -> Reply {
    body(status, serde_json::to_vec(value).unwrap_or_default())
}

fn body(status: StatusCode, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
