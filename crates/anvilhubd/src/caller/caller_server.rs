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

use super::{CallerHandler, GREETING, ServerLimits};

/// Pause after a failed accept. The usual cause is a lack of file descriptors, which persists.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// HTTP server for callers. When it stops, it closes each connection after its running request.
pub(crate) struct CallerServer<H> {
    handler: Arc<H>,
    limits: ServerLimits,
}

impl<H: CallerHandler> CallerServer<H> {
    pub(crate) fn new(handler: Arc<H>, limits: ServerLimits) -> Self {
        Self { handler, limits }
    }

    /// Serves `listener` until `stop` turns true and every connection is closed.
    pub(crate) async fn serve(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let limit = Arc::new(Semaphore::new(self.limits.max_connections));
        let mut connections = JoinSet::new();
        loop {
            let permit = Arc::clone(&limit)
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
                    warn!("cannot accept a caller's connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            while connections.try_join_next().is_some() {}
        }
        // Connections that wait to be accepted are served, not reset.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            connections.spawn(self.serve_connection(stream, stop.clone()));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn serve_connection(
        &self,
        mut stream: TcpStream,
        mut stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let handler = Arc::clone(&self.handler);
        // hyper counts the time between two requests towards the timeout for the next head, so `idle_timeout` limits both.
        let limits = self.limits;
        async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            if let Err(error) = prepare_stream(&mut stream, limits).await {
                debug!("a caller's connection ended before its first request: {error}");
                return;
            }
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .half_close(limits.answers_half_closed);
            if let Some(max) = limits.max_head {
                builder.max_header_size(max.get() as usize);
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
                debug!("a caller's connection ended early: {error}");
            }
        }
    }
}

async fn prepare_stream(stream: &mut TcpStream, limits: ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    match limits.sends_greeting {
        true => stream.write_all(&[GREETING]).await,
        false => Ok(()),
    }
}

/// Waits until the server has to stop.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A dropped sender means that the daemon stops, too.
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
}
