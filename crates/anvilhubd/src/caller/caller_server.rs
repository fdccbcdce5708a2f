use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::context::EntryContext;

use super::QueryHandler;

/// Accepts callers' connections until it is told to stop, and then closes each after its last answer.
pub(crate) struct CallerServer {
    context: Arc<EntryContext>,
    handler: Arc<QueryHandler>,
}

impl CallerServer {
    pub(crate) fn new(context: Arc<EntryContext>, handler: Arc<QueryHandler>) -> Self {
        Self { context, handler }
    }

    /// Serves `listener` until `stop` turns true and every connection is closed.
    pub(crate) async fn serve(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let limit = Arc::new(Semaphore::new(
            self.context.settings.max_caller_connections as usize,
        ));
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
                Err(error) => warn!("cannot accept a caller's connection: {error}"),
            }
            while connections.try_join_next().is_some() {}
        }
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: TcpStream,
        mut stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let handler = Arc::clone(&self.handler);
        // hyper counts the time between two requests as part of the time for the next head.
        let idle_timeout = self.context.settings.idle_timeout;
        async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle_timeout)
                .half_close(true)
                .serve_connection(TokioIo::new(stream), service);
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

/// Waits until the server is told to stop.
async fn stopping(stop: &mut watch::Receiver<bool>) {
    // A dropped sender also means that the daemon stops.
    let _ = stop.wait_for(|stopping| *stopping).await;
}
