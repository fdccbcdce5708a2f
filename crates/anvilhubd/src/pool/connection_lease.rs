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

/// Largest answer of a health, load or cancel endpoint.
const MAX_REPORT: ByteSize = ByteSize(64 * 1024);
/// Longest wait for a probe: health endpoints answer at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection that carries one request of its holder.
///
/// It goes back to its link when the whole answer has arrived and belongs to the request. Dropped before, the
/// connection is closed: it may deliver the answer to the next request.
pub(crate) struct ConnectionLease {
    link: Arc<ConnectionSet>,
    id: ConnectionId,
    connection: Option<UpstreamConnection>,
    /// Resolves when the link finds the connection silent.
    silent: oneshot::Receiver<()>,
}

impl ConnectionLease {
    pub(super) fn new(
        link: Arc<ConnectionSet>,
        id: ConnectionId,
        connection: UpstreamConnection,
        silent: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            link,
            id,
            connection: Some(connection),
            silent,
        }
    }

    /// Waits for the answer until the deadline, even when the connection seems to be silent.
    pub(super) fn keep_waiting(&self) {
        self.link.keep_waiting(self.id);
    }

    /// Waits until the connection takes a request; `false` when it was closed meanwhile.
    pub(super) async fn is_ready(&mut self) -> bool {
        match &mut self.connection {
            Some(connection) => connection.is_ready().await,
            None => false,
        }
    }

    /// Sends a sub-request and reads its answer.
    pub(crate) async fn query(
        mut self,
        request: &SubRequest,
        limit: ByteSize,
    ) -> Result<SubAnswer> {
        let address = self.link.address();
        let (status, body) = self.post("/query", request, limit).await?;
        let result = read_answer(address, request, status, &body);
        if matches!(result, Ok(_) | Err(PoolError::Refused { .. })) {
            self.finish();
        }
        result
    }

    /// Asks the upstream to stop working on a sub-request that was sent on another connection.
    pub(crate) async fn cancel(mut self, request: &CancelRequest) -> Result<()> {
        self.post("/cancel", request, MAX_REPORT).await?;
        self.finish();
        Ok(())
    }

    /// Reads the upstream's load report.
    pub(crate) async fn load(mut self) -> Result<LoadReport> {
        let address = self.link.address();
        let (status, body) = self
            .exchange(Method::GET, "/load", Vec::new(), MAX_REPORT)
            .await?;
        if status != StatusCode::OK {
            self.finish();
            return Err(bad_answer(address, format!("HTTP status {status}")));
        }
        let report = parse(address, &body)?;
        self.finish();
        Ok(report)
    }

    /// Reads the health endpoint. Any answer proves that the connection works, even one that says unhealthy.
    pub(super) async fn probe(mut self) {
        let health = self.exchange(Method::GET, "/health", Vec::new(), MAX_REPORT);
        if matches!(timeout(PROBE_TIMEOUT, health).await, Ok(Ok(_))) {
            self.finish();
        }
    }

    /// Gives a fresh connection back unused.
    pub(crate) fn rest(mut self) {
        self.finish();
    }

    async fn post(
        &mut self,
        path: &str,
        message: &impl Serialize,
        limit: ByteSize,
    ) -> Result<(StatusCode, Bytes)> {
        let body = serde_json::to_vec(message).expect("border types serialize to JSON");
        self.exchange(Method::POST, path, body, limit).await
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: ByteSize,
    ) -> Result<(StatusCode, Bytes)> {
        let connection = self.connection.as_mut().expect("a lease is used once");
        let address = connection.address();
        let (link, id) = (&self.link, self.id);
        let exchange = connection.exchange(method, path, body, limit, || link.byte_received(id));
        tokio::select! {
            result = exchange => result,
            _ = &mut self.silent => Err(PoolError::Broken {
                address,
                reason: "the connection is silent while others answer".to_owned(),
            }),
        }
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.link.finished(self.id, connection);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.link.closed(self.id);
        }
    }
}
