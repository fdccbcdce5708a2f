use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::memory::ClientAccount;

/// Maximum number of bytes of one read. hyper doubles its buffer, up to the largest head, when a read fills it; this is
/// half of the size that it starts with.
const MAX_READ_SIZE: usize = 4 * 1024;
/// Time after which a client that takes nothing of its answer is disconnected. Clients inside the documented limits may
/// pause for this long only between requests.
const MAX_WRITE_STALL: Duration = Duration::from_secs(10);

/// The connection of a client. It reports to the client's account what the client sends and takes.
pub(super) struct ClientStream {
    stream: TcpStream,
    account: Arc<ClientAccount>,
    /// Ends the connection if the client takes nothing until then; `None` while nothing waits for it.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, account: Arc<ClientAccount>) -> Self {
        Self {
            stream,
            account,
            stall_timer: None,
        }
    }

    /// Records how a write ended.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(_)) => {
                self.stall_timer = None;
                self.account.record_written();
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.account.record_blocked();
                let timer = self
                    .stall_timer
                    .get_or_insert_with(|| Box::pin(sleep(MAX_WRITE_STALL)));
                ready!(timer.as_mut().poll(context));
                counter!("anvilhub_clients_disconnected_total", "reason" => "slow_reader")
                    .increment(1);
                let stalled = io::Error::new(io::ErrorKind::TimedOut, "the client takes nothing");
                return Poll::Ready(Err(stalled));
            }
        }
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; MAX_READ_SIZE];
        let mut part = ReadBuf::new(&mut bytes[..buffer.remaining().min(MAX_READ_SIZE)]);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let part = part.filled();
        if !part.is_empty() && !self.account.record_read(part.len()) {
            counter!("anvilhub_clients_disconnected_total", "reason" => "head_refused")
                .increment(1);
            let refused = io::Error::new(io::ErrorKind::OutOfMemory, "no memory for the head");
            return Poll::Ready(Err(refused));
        }
        buffer.put_slice(part);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.account.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
