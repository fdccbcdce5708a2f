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

/// Pause after a failed accept; the usual cause is a lack of descriptors, which lasts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers' connections until it is told to stop, and then closes each after its last answer.
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
        let limit = Arc::new(Semaphore::new(self.limits.most_connections));
        let mut connections = JoinSet::new();
        loop {
            let permit = Arc::clone(&limit)
                .acquire_owned()
                .await
                .expect("the semaphore stays open");
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopping(&mut stop) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = self.connection(stream, stop.clone());
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
        // Connections that were opened before the stop are answered, not reset.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            connections.spawn(self.connection(stream, stop.clone()));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        mut stream: TcpStream,
        mut stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let handler = Arc::clone(&self.handler);
        // hyper counts the time between two requests as part of the time for the next head.
        let limits = self.limits;
        async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            if let Err(error) = begin(&mut stream, limits).await {
                debug!("a caller's connection ended before its first request: {error}");
                return;
            }
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .half_close(limits.answers_half_closed);
            if let Some(most) = limits.most_head {
                builder.max_header_size(most.get() as usize);
            }
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            let served = tokio::select! {
                served = connection.as_mut() => served,
                () = stopping(&mut stop) => {
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

async fn begin(stream: &mut TcpStream, limits: ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    match limits.greets {
        true => stream.write_all(&[GREETING]).await,
        false => Ok(()),
    }
}

/// Waits until the server is told to stop.
async fn stopping(stop: &mut watch::Receiver<bool>) {
    // A dropped sender also means that the daemon stops.
    let _ = stop.wait_for(|stopping| *stopping).await;
}
