use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use super::{GREETING, HttpHandler, ServerLimits};

/// Pause after a connection could not be accepted. The usual cause is a lack of file descriptors, which lasts for a
/// while.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// HTTP server whose requests a handler answers. When the server stops, it closes each connection once the request that
/// runs on it is answered.
pub(crate) struct HttpServer<H> {
    handler: Arc<H>,
    limits: ServerLimits,
}

impl<H: HttpHandler> HttpServer<H> {
    pub(crate) fn new(handler: Arc<H>, limits: ServerLimits) -> Self {
        Self { handler, limits }
    }

    /// Serves the connections of `listener`. Returns after `stop` has become true and every connection is closed.
    pub(crate) async fn serve(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let connection_permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let mut connections = JoinSet::new();
        loop {
            let permit = Arc::clone(&connection_permits)
                .acquire_owned()
                .await
                .expect("the semaphore stays open");
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_stop(&mut stop) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = self.serve_connection(stream, stop.clone());
                    connections.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!("cannot accept a connection: {error}; trying again after a pause");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
        async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            if let Err(error) = prepare_stream(&mut stream, limits).await {
                debug!("a connection ended before its first request: {error}");
                return;
            }
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .half_close(limits.answers_half_closed);
            if let Some(max_head_size) = limits.max_head_size {
                builder.max_header_size(max_head_size.get() as usize);
            }
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            let served = tokio::select! {
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

/// Sets the options of a new connection, and sends the greeting if the server sends one.
async fn prepare_stream(stream: &mut TcpStream, limits: ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
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
