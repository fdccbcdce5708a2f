use std::io;
use std::net::SocketAddr;

use anvilhub_coord::ids::ByteSize;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::caller::GREETING;

use super::answer_budget::ANSWER_BUDGET;
use super::{PoolError, Result};

/// Maximum size of an answer's head. Upstreams send a few hundred bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// One open connection to an upstream. It carries one request at a time, and is closed when it is dropped.
///
/// It uses hyper's connection API, which never resends a request by itself: non-idempotent requests depend on that.
pub(crate) struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it.
    is_used: bool,
    /// The task that reads and writes the connection.
    driver: AbortHandle,
}

impl UpstreamConnection {
    /// Connects to an upstream.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let unconnected = |reason: &dyn std::fmt::Display| PoolError::Unconnected {
            address,
            reason: reason.to_string(),
        };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| unconnected(&error))?;
        Self::from_stream(address, stream).await
    }

    /// Connects to another instance and reads its greeting, which shows that the process there runs: a connection
    /// alone may also be accepted by the kernel of a process that does not run.
    pub(crate) async fn open_greeted(address: SocketAddr) -> Result<Self> {
        let greeted = async {
            let mut stream = TcpStream::connect(address).await?;
            match stream.read_u8().await? {
                GREETING => Ok(stream),
                _ => Err(io::Error::other("the greeting is not the expected one")),
            }
        };
        let stream = greeted.await.map_err(|error| PoolError::Unconnected {
            address,
            reason: error.to_string(),
        })?;
        Self::from_stream(address, stream).await
    }

    async fn from_stream(address: SocketAddr, stream: TcpStream) -> Result<Self> {
        let unconnected = |reason: &dyn std::fmt::Display| PoolError::Unconnected {
            address,
            reason: reason.to_string(),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| unconnected(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unconnected(&error))?;
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self {
            address,
            sender,
            is_used: false,
            driver,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is still open.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether a request was sent on the connection, so that a late second answer to it may still arrive.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used
    }

    /// Waits until a request can be sent. Returns whether the connection is still open.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a JSON request and reads the answer, calling `on_bytes` whenever a part of it arrives.
    pub(crate) async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        max_answer_size: ByteSize,
        on_bytes: impl Fn(),
    ) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("a constant request head is valid");
        let (head, body) = self.send(request, max_answer_size, on_bytes).await?;
        Ok((head.status, body))
    }

    /// Sends a request unchanged and reads the answer, calling `on_bytes` whenever a part of it arrives.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_answer_size: ByteSize,
        on_bytes: impl Fn(),
    ) -> Result<(Parts, Bytes)> {
        self.is_used = true;
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            // hyper gives the message back when it wrote nothing of it.
            Some(_) => PoolError::Unconnected {
                address: self.address,
                reason: format!(
                    "the connection closed before the request was written: {}",
                    error.error()
                ),
            },
            None => self.broken_error(error.error()),
        })?;
        on_bytes();
        let (head, body) = response.into_parts();
        let body = self.read_body(body, max_answer_size, on_bytes).await?;
        Ok((head, body))
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        max_answer_size: ByteSize,
        on_bytes: impl Fn(),
    ) -> Result<Bytes> {
        let oversized = PoolError::OversizedAnswer {
            address: self.address,
            limit: max_answer_size,
        };
        if body.size_hint().lower() > max_answer_size.get() {
            return Err(oversized);
        }
        let mut bytes = BytesMut::new();
        let mut reservation = ANSWER_BUDGET.reserve();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.broken_error(&error))?;
            on_bytes();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if (bytes.len() + data.len()) as u64 > max_answer_size.get() {
                return Err(oversized);
            }
            if !reservation.grow(data.len()) {
                return Err(PoolError::ExhaustedBuffer {
                    address: self.address,
                });
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    fn broken_error(&self, reason: &dyn std::fmt::Display) -> PoolError {
        PoolError::Broken {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
