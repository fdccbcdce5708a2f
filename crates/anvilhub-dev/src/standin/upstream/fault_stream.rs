use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that can add to or replace the bytes that the HTTP server writes.
pub(crate) struct FaultStream {
    stream: TcpStream,
    injector: Arc<ByteInjector>,
}

/// Bytes to send in addition to or instead of a response of the HTTP server.
#[derive(Debug, Default)]
pub(crate) struct ByteInjector {
    pending: Mutex<PendingInjection>,
}

#[derive(Debug, Default)]
struct PendingInjection {
    discards_response: bool,
    injected: Vec<u8>,
}

impl ByteInjector {
    /// Sends `bytes` after the next response.
    pub(crate) fn append_to_response(&self, bytes: Vec<u8>) {
        self.lock().injected = bytes;
    }

    /// Sends `bytes` instead of the next response.
    pub(crate) fn replace_response(&self, bytes: Vec<u8>) {
        *self.lock() = PendingInjection {
            discards_response: true,
            injected: bytes,
        };
    }

    fn lock(&self) -> MutexGuard<'_, PendingInjection> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultStream {
    pub(crate) fn new(stream: TcpStream, injector: Arc<ByteInjector>) -> Self {
        Self { stream, injector }
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
        if self.injector.lock().discards_response {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut pending = this.injector.lock();
        while !pending.injected.is_empty() {
            let written =
                ready!(Pin::new(&mut this.stream).poll_write(context, &pending.injected))?;
            pending.injected.drain(..written);
        }
        pending.discards_response = false;
        drop(pending);
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
