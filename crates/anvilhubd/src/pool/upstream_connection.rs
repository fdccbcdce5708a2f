use std::net::SocketAddr;

use anvilhub_coord::border::upstream::{SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::ids::ByteSize;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

use super::{PoolError, Result};

/// One open connection to an upstream. It carries one request at a time.
///
/// hyper's connection API never sends a request a second time by itself, which non-idempotent requests
/// depend on.
pub(crate) struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl UpstreamConnection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let unconnected = |reason: &dyn std::fmt::Display| PoolError::Unconnected {
            address,
            reason: reason.to_string(),
        };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| unconnected(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unconnected(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unconnected(&error))?;
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Says whether another request can be sent.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a sub-request and reads its answer.
    pub(crate) async fn query(
        &mut self,
        request: &SubRequest,
        limit: ByteSize,
    ) -> Result<SubAnswer> {
        let response = self.post("/query", request).await?;
        let status = response.status();
        let body = self.read_body(response, limit).await?;
        match status {
            StatusCode::OK => self.parse_answer(request, &body),
            StatusCode::SERVICE_UNAVAILABLE => Err(self.parse_refusal(request, &body)),
            other => Err(self.bad_answer(format!("HTTP status {other}"))),
        }
    }

    async fn post(&mut self, path: &str, message: &impl Serialize) -> Result<Response<Incoming>> {
        let body = serde_json::to_vec(message).expect("border types serialize to JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("a constant request head is valid");
        self.sender
            .ready()
            .await
            .map_err(|error| PoolError::Unconnected {
                address: self.address,
                reason: error.to_string(),
            })?;
        self.sender
            .send_request(request)
            .await
            .map_err(|error| self.broken(&error))
    }

    async fn read_body(&self, response: Response<Incoming>, limit: ByteSize) -> Result<Bytes> {
        let bytes = usize::try_from(limit.get()).unwrap_or(usize::MAX);
        let body = Limited::new(response.into_body(), bytes).collect().await;
        match body {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(PoolError::OversizedAnswer {
                address: self.address,
                limit,
            }),
            Err(error) => Err(self.broken(&error)),
        }
    }

    fn parse_answer(&self, request: &SubRequest, body: &[u8]) -> Result<SubAnswer> {
        let answer: SubAnswer =
            serde_json::from_slice(body).map_err(|error| self.bad_answer(error.to_string()))?;
        match answer.request_id == request.request_id {
            true => Ok(answer),
            false => Err(self.bad_answer(format!("it answers request {}", answer.request_id))),
        }
    }

    fn parse_refusal(&self, request: &SubRequest, body: &[u8]) -> PoolError {
        match serde_json::from_slice::<SubRefusal>(body) {
            Ok(refusal) if refusal.request_id == request.request_id => {
                PoolError::Refused { refusal }
            }
            Ok(refusal) => self.bad_answer(format!("it refuses request {}", refusal.request_id)),
            Err(error) => self.bad_answer(error.to_string()),
        }
    }

    fn broken(&self, reason: &dyn std::fmt::Display) -> PoolError {
        PoolError::Broken {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn bad_answer(&self, reason: String) -> PoolError {
        PoolError::BadAnswer {
            address: self.address,
            reason,
        }
    }
}
