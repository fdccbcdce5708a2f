use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, eyre};

/// First port that is given out. Lower than the ports that the system picks for outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Ports that are tried before the search ends.
const MAX_TRIES: u16 = 1_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Gives out listening addresses of the loopback network.
///
/// The IP address is made from the process id. Two test processes that run at once thus never share one, and
/// an address stays free while a test restarts the program that listens on it.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackBlock {
    ip: Ipv4Addr,
}

impl LoopbackBlock {
    /// The block of this process.
    pub fn of_process() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
        Self { ip }
    }

    /// The next free address.
    ///
    /// It is tried with a connection. A listener in this process would be inherited by a child that another
    /// test starts at the same time, and would hold the port until that child has loaded its program.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn next_address(&self) -> Result<SocketAddr> {
        (0..MAX_TRIES)
            .map(|_| NEXT_PORT.fetch_add(1, Ordering::Relaxed))
            .map(|port| SocketAddr::from((self.ip, port)))
            .find(|address| TcpStream::connect(address).is_err())
            .ok_or_else(|| eyre!("no port of {} is free", self.ip))
    }
}
