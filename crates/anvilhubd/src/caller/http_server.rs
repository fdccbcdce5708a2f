use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::memory::ClientPhase;
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::memory::{ClientAccount, MemoryLedger};

use super::client_stream::ClientStream;
use super::{GREETING, HttpHandler, ServerLimits};

/// Pause after a connection could not be accepted. The usual cause is a lack of file descriptors, which lasts for a
/// while.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two attempts to close an idle connection for a new one, while all connections serve requests.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time to send the refusal of a request whose connection was chosen to be closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of a connection's send buffer in the kernel, in bytes. A client's progress is seen in steps of a part of it, so a
/// large one hides that a client takes its answer, and keeps memory that nobody counts.
const SEND_BUFFER_SIZE: usize = 64 * 1024;
/// Value of `Retry-After` in the refusal of a request whose connection was chosen to be closed, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// HTTP server whose requests a handler answers. When the server stops, it closes each connection once the request that
/// runs on it is answered. When connections run out, it closes the one whose client has made no progress for the longest
/// time.
pub(crate) struct HttpServer<H> {
    handler: Arc<H>,
    limits: ServerLimits,
    ledger: Arc<MemoryLedger>,
}

impl<H: HttpHandler> HttpServer<H> {
    /// Creates a server whose clients are counted in `ledger`.
    pub(crate) fn new(handler: Arc<H>, limits: ServerLimits, ledger: Arc<MemoryLedger>) -> Self {
        Self {
            handler,
            limits,
            ledger,
        }
    }

    /// Serves the connections of `listener`. Returns after `stop` has become true and every connection is closed.
    pub(crate) async fn serve(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let connection_permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_stop(&mut stop) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let permit = tokio::select! {
                        permit = self.make_room(&connection_permits) => Some(permit),
                        // The connection is served without a permit, like those that are still waiting to be accepted.
                        () = wait_for_stop(&mut stop) => None,
                    };
                    let connection = self.serve_connection(stream, stop.clone());
                    connections.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!("cannot accept a connection: {error}; trying again after a pause");
                    self.ledger.free_connection(self.limits.server);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
            while connections.try_join_next().is_some() {}
        }
        // Connections that are still waiting to be accepted are served too; closing the listener would reset them.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            connections.spawn(self.serve_connection(stream, stop.clone()));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    /// Waits until there is room for one more connection. If there is none, an idle connection is closed.
    async fn make_room(&self, permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
                return permit;
            }
            self.ledger.free_connection(self.limits.server);
            let permit = Arc::clone(permits).acquire_owned();
            if let Ok(permit) = tokio::time::timeout(ROOM_PAUSE, permit).await {
                return permit.expect("the semaphore stays open");
            }
        }
    }

    /// Serves one connection until it is closed.
    fn serve_connection(
        &self,
        mut stream: TcpStream,
        mut stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let handler = Arc::clone(&self.handler);
        // hyper counts the time between two requests towards the timeout for the next head, so `idle_timeout` limits
        // both.
        let limits = self.limits;
        let account = self.ledger.open_account(limits.server);
        async move {
            if let Err(error) = prepare_stream(&mut stream, limits).await {
                debug!("a connection ended before its first request: {error}");
                return;
            }
            let stream = ClientStream::new(stream, Arc::clone(&account));
            let served_account = Arc::clone(&account);
            let service = service_fn(move |request| {
                let (handler, account) = (Arc::clone(&handler), Arc::clone(&served_account));
                // hyper keeps room for this future in each connection, and the handler's is several kilobytes large.
                Box::pin(
                    async move { Ok::<_, Infallible>(answer(&*handler, account, request).await) },
                )
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .half_close(limits.answers_half_closed);
            if let Some(max_head_size) = limits.max_head_size {
                let max_head_size = max_head_size.get() as usize;
                builder.max_header_size(max_head_size);
                builder.max_buf_size(max_head_size);
            }
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            let served = tokio::select! {
                biased;
                () = account.evicted() => {
                    if account.is_abortable() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    match tokio::time::timeout(REFUSAL_TIMEOUT, connection).await {
                        Ok(served) => served,
                        Err(_) => return,
                    }
                }
                served = connection.as_mut() => served,
                () = wait_for_stop(&mut stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = served {
                debug!("a connection ended early: {error}");
            }
        }
    }
}

/// Answers one request of a connection, and counts the answer until the client has taken it.
async fn answer<H: HttpHandler>(
    handler: &H,
    account: Arc<ClientAccount>,
    mut request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if !account.enter(ClientPhase::Served) {
        return refuse();
    }
    request.extensions_mut().insert(Arc::clone(&account));
    let (head, mut body) = handler.handle(request).await.into_parts();
    let frame = body.frame().now_or_never().flatten();
    let bytes = frame.and_then(|frame| frame.ok()?.into_data().ok());
    let bytes = account.hold_answer(bytes.unwrap_or_default());
    // A connection that was chosen to be closed sends its answer first.
    let _ = account.enter(ClientPhase::Answer);
    Response::from_parts(head, Full::new(bytes))
}

/// Builds the response to a request that arrived on a connection that was chosen to be closed.
fn refuse() -> Response<Full<Bytes>> {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(header::RETRY_AFTER, RETRY_AFTER_SECONDS)
        .header(header::CONNECTION, "close")
        .body(Full::default())
        .expect("a constant response head is valid")
}

/// Sets the options of a new connection, and sends the greeting if the server sends one.
async fn prepare_stream(stream: &mut TcpStream, limits: ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if let Err(error) = SockRef::from(&*stream).set_send_buffer_size(SEND_BUFFER_SIZE) {
        // The progress of clients is seen later then, and nothing else changes.
        debug!("the send buffer of a connection keeps its size: {error}");
    }
    match limits.sends_greeting {
        true => stream.write_all(&[GREETING]).await,
        false => Ok(()),
    }
}

/// Waits until the server has to stop.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which happens only when the process ends.
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
}
