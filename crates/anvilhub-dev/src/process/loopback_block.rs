use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, eyre};

/// First port that is allocated. It is below the ephemeral ports that the system uses for outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that are tried before the search fails.
const MAX_ATTEMPTS: u16 = 1_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Allocates listening addresses on the loopback network.
///
/// The IP address is derived from the process id, so concurrent test processes never share one. An address
/// therefore stays free while a test restarts the program that listens on it.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackBlock {
    ip: Ipv4Addr,
}

impl LoopbackBlock {
    /// Returns the block of addresses of this process.
    pub fn for_process() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
        Self { ip }
    }

    /// Allocates the next free address.
    ///
    /// Checks each port with a connection attempt. Binding a listener instead could block the port: a child that
    /// another test starts at the same time would inherit the listener and hold it until it has loaded its program.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn next_address(&self) -> Result<SocketAddr> {
        (0..MAX_ATTEMPTS)
            .map(|_| NEXT_PORT.fetch_add(1, Ordering::Relaxed))
            .map(|port| SocketAddr::from((self.ip, port)))
            .find(|address| TcpStream::connect(address).is_err())
            .ok_or_else(|| {
                eyre!(
                    "none of the next {MAX_ATTEMPTS} ports of {} is free",
                    self.ip
                )
            })
    }
}
