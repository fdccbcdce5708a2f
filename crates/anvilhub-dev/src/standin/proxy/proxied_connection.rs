use std::io::{Read, Result, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::proxy_server::ProxyServer;

/// Interval at which a copy whose bytes are held checks whether the mode has changed.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the copy buffer.
const COPY_BUFFER_BYTES: usize = 16 << 10;

/// A connection from a client and the matching connection to the target.
#[derive(Clone, Debug)]
pub(crate) struct ProxiedConnection {
    client: Arc<TcpStream>,
    target: Arc<TcpStream>,
    is_silent: Arc<AtomicBool>,
}

/// The direction in which bytes are copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyDirection {
    ToTarget,
    ToClient,
}

impl ProxiedConnection {
    pub(crate) fn new(client: TcpStream, target: TcpStream) -> Result<Self> {
        // Nagle's algorithm would add delays that no command has set.
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        Ok(Self {
            client: Arc::new(client),
            target: Arc::new(target),
            is_silent: Arc::default(),
        })
    }

    /// Drops all bytes from now on; the connection stays open.
    pub(crate) fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    pub(crate) fn close(&self) {
        // Shutdown fails on a side that is already closed.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }

    /// Copies bytes in both directions until both have ended, then closes the connection.
    pub(crate) fn forward(&self, server: &ProxyServer) {
        thread::scope(|scope| {
            scope.spawn(|| self.forward_direction(CopyDirection::ToTarget, server));
            self.forward_direction(CopyDirection::ToClient, server);
        });
        self.close();
    }

    fn forward_direction(&self, direction: CopyDirection, server: &ProxyServer) {
        let (from, to) = match direction {
            CopyDirection::ToTarget => (&*self.client, &*self.target),
            CopyDirection::ToClient => (&*self.target, &*self.client),
        };
        let is_held = || server.is_held(direction);
        if self.copy_bytes(from, to, server, is_held).is_err() {
            return self.close();
        }
        if !self.is_silent() {
            let _ = to.shutdown(Shutdown::Write);
        }
    }

    fn copy_bytes(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        server: &ProxyServer,
        is_held: impl Fn() -> bool,
    ) -> Result<()> {
        let mut buffer = [0; COPY_BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer)?;
            if length == 0 {
                return Ok(());
            }
            while is_held() {
                thread::sleep(HOLD_POLL_INTERVAL);
            }
            let delay = server.delay();
            if delay > Duration::ZERO {
                thread::sleep(delay);
            }
            if !self.is_silent() {
                to.write_all(&buffer[..length])?;
            }
        }
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }
}
