use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time for a probe. It covers several round trips between failure domains; the caller waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Returns whether no process listens at `address`, as after a crash. A connection that broke alone shows no crash: networks
/// reset connections, too.
pub(crate) async fn has_ended(address: SocketAddr) -> bool {
    let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    let Ok(Err(error)) = connecting.await else {
        return false;
    };
    error.kind() == ErrorKind::ConnectionRefused
}
