use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::byte_injector::ByteInjector;

/// A TCP stream that can add to or replace the bytes that the HTTP server writes.
pub(crate) struct FaultStream {
    stream: TcpStream,
    injector: Arc<ByteInjector>,
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

    /// Sends the injected bytes. The HTTP server flushes after each response.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut pending = this.injector.lock();
        while !pending.bytes.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(context, &pending.bytes))?;
            pending.bytes.drain(..written);
        }
        pending.discards_response = false;
        drop(pending);
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
