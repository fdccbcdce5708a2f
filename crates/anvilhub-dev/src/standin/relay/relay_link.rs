use std::io::{Read, Result, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::relay_server::RelayServer;

/// How often held bytes look whether they may go on.
const HOLD_TICK: Duration = Duration::from_millis(5);
/// Bytes that one step passes on.
const CHUNK_BYTES: usize = 16 << 10;

/// One relayed connection: the side of its client and the side of its target.
#[derive(Clone, Debug)]
pub(crate) struct RelayLink {
    client: Arc<TcpStream>,
    target: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
}

impl RelayLink {
    pub(crate) fn new(client: TcpStream, target: TcpStream) -> Result<Self> {
        // Delays are those of the command alone.
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        Ok(Self {
            client: Arc::new(client),
            target: Arc::new(target),
            silent: Arc::default(),
        })
    }

    /// Loses every byte from now on; the connection stays open.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    pub(crate) fn close(&self) {
        // A side that is closed already needs nothing more.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }

    /// Passes bytes in both directions until both ends are done.
    pub(crate) fn pass(&self, server: &RelayServer) {
        thread::scope(|scope| {
            scope.spawn(|| self.pass_one_way(true, server));
            self.pass_one_way(false, server);
        });
        self.close();
    }

    fn pass_one_way(&self, is_forth: bool, server: &RelayServer) {
        let (from, to) = match is_forth {
            true => (&*self.client, &*self.target),
            false => (&*self.target, &*self.client),
        };
        let holds = || server.holds(is_forth);
        if self.copy(from, to, server, holds).is_err() {
            return self.close();
        }
        if !self.is_silent() {
            let _ = to.shutdown(Shutdown::Write);
        }
    }

    fn copy(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        server: &RelayServer,
        holds: impl Fn() -> bool,
    ) -> Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            let length = from.read(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            while holds() {
                thread::sleep(HOLD_TICK);
            }
            let delay = server.delay();
            if delay > Duration::ZERO {
                thread::sleep(delay);
            }
            if !self.is_silent() {
                to.write_all(&chunk[..length])?;
            }
        }
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}
