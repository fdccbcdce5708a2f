use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{CancelRequest, LoadReport, SubAnswer, SubRequest};
use anvilhub_coord::connection::ConnectionId;
use anvilhub_coord::ids::ByteSize;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer_body::{bad_answer, parse, read_answer};
use super::{ConnectionSet, PoolError, Result, UpstreamConnection};

/// Maximum size of an answer from a health, load or cancel endpoint.
const MAX_REPORT_SIZE: ByteSize = ByteSize(64 * 1024);
/// Maximum time of a probe. Health endpoints answer at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection that is leased for one request.
///
/// It returns to its set once the whole answer has arrived and belongs to the request. When the lease is dropped
/// before that, the connection is closed: otherwise the answer could be read as the answer to the next request.
pub(crate) struct ConnectionLease {
    connections: Arc<ConnectionSet>,
    id: ConnectionId,
    connection: Option<UpstreamConnection>,
    /// Resolves when the connection set finds the connection silent.
    silence: oneshot::Receiver<()>,
}

impl ConnectionLease {
    pub(super) fn new(
        connections: Arc<ConnectionSet>,
        id: ConnectionId,
        connection: UpstreamConnection,
        silence: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            connections,
            id,
            connection: Some(connection),
            silence,
        }
    }

    /// Exempts the connection from the silence check: the answer is awaited until the deadline.
    pub(super) fn exempt_from_silence_check(&self) {
        self.connections.exempt_from_silence_check(self.id);
    }

    /// Waits until the connection accepts a request. Returns whether it is still open.
    pub(super) async fn wait_ready(&mut self) -> bool {
        match &mut self.connection {
            Some(connection) => connection.wait_ready().await,
            None => false,
        }
    }

    /// Sends a sub-request and reads its answer. The connection returns to its set if the answer is valid or a refusal.
    pub(crate) async fn query(
        mut self,
        request: &SubRequest,
        max_answer_size: ByteSize,
    ) -> Result<SubAnswer> {
        let address = self.connections.address();
        let (status, body) = self.post("/query", request, max_answer_size).await?;
        let result = read_answer(address, request, status, &body);
        if matches!(result, Ok(_) | Err(PoolError::Refused { .. })) {
            self.return_connection();
        }
        result
    }

    /// Asks the upstream to stop working on a sub-request that was sent on another connection.
    pub(crate) async fn cancel(mut self, request: &CancelRequest) -> Result<()> {
        self.post("/cancel", request, MAX_REPORT_SIZE).await?;
        self.return_connection();
        Ok(())
    }

    /// Reads the upstream's load report.
    pub(crate) async fn read_load(mut self) -> Result<LoadReport> {
        let address = self.connections.address();
        let (status, body) = self
            .exchange(Method::GET, "/load", Vec::new(), MAX_REPORT_SIZE)
            .await?;
        if status != StatusCode::OK {
            self.return_connection();
            return Err(bad_answer(address, format!("HTTP status {status}")));
        }
        let report = parse(address, &body)?;
        self.return_connection();
        Ok(report)
    }

    /// Probes the connection with a request to the health endpoint. Any answer proves that the connection works,
    /// even one that reports an unhealthy upstream.
    pub(super) async fn probe(mut self) {
        let health = self.exchange(Method::GET, "/health", Vec::new(), MAX_REPORT_SIZE);
        if matches!(timeout(PROBE_TIMEOUT, health).await, Ok(Ok(_))) {
            self.return_connection();
        }
    }

    /// Returns the connection without having used it.
    pub(crate) fn return_unused(mut self) {
        self.return_connection();
    }

    async fn post(
        &mut self,
        path: &str,
        message: &impl Serialize,
        max_answer_size: ByteSize,
    ) -> Result<(StatusCode, Bytes)> {
        let body = serde_json::to_vec(message).expect("border types serialize to JSON");
        self.exchange(Method::POST, path, body, max_answer_size)
            .await
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        max_answer_size: ByteSize,
    ) -> Result<(StatusCode, Bytes)> {
        let connection = self.connection.as_mut().expect("a lease is used once");
        let address = connection.address();
        let (connections, id) = (&self.connections, self.id);
        let exchange = connection.exchange(method, path, body, max_answer_size, || {
            connections.record_byte(id);
        });
        tokio::select! {
            biased;
            result = exchange => result,
            _ = &mut self.silence => Err(PoolError::Broken {
                address,
                reason: "the connection is silent while others answer".to_owned(),
            }),
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connections.return_connection(self.id, connection);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.connections.remove_connection(self.id);
        }
    }
}
