use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that can send bytes that its HTTP server did not write.
pub(crate) struct FaultStream {
    stream: TcpStream,
    plan: Arc<StreamPlan>,
}

/// What a connection sends besides or instead of the server's bytes.
#[derive(Debug, Default)]
pub(crate) struct StreamPlan {
    pending: Mutex<PendingBytes>,
}

#[derive(Debug, Default)]
struct PendingBytes {
    swallows: bool,
    extra: Vec<u8>,
}

impl StreamPlan {
    /// Sends `bytes` after the response that is about to be written.
    pub(crate) fn append(&self, bytes: Vec<u8>) {
        self.lock().extra = bytes;
    }

    /// Sends `bytes` instead of the response that is about to be written.
    pub(crate) fn replace(&self, bytes: Vec<u8>) {
        *self.lock() = PendingBytes {
            swallows: true,
            extra: bytes,
        };
    }

    fn lock(&self) -> MutexGuard<'_, PendingBytes> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultStream {
    pub(crate) fn new(stream: TcpStream, plan: Arc<StreamPlan>) -> Self {
        Self { stream, plan }
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.plan.lock().swallows {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut pending = this.plan.lock();
        while !pending.extra.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(context, &pending.extra))?;
            pending.extra.drain(..written);
        }
        pending.swallows = false;
        drop(pending);
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
