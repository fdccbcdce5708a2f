use std::sync::Arc;

use tokio::time::Instant;

use super::byte_injector::ByteInjector;
use super::replica_server::ReplicaServer;

/// An accepted connection. It counts towards the connection limit until the guard is dropped.
pub(crate) struct ConnectionGuard {
    /// Sequence number of the connection at its replica, starting at 1.
    pub(crate) number: u64,
    /// Earliest time of the first answer.
    pub(crate) usable_at: Instant,
    pub(crate) injector: Arc<ByteInjector>,
    server: Arc<ReplicaServer>,
}

impl ConnectionGuard {
    /// Counts a connection as open. Returns `None` if the connection limit is reached.
    pub(crate) fn acquire(server: &Arc<ReplicaServer>, now: Instant) -> Option<Self> {
        let (number, usable_at) = server.admit_connection(now)?;
        Some(Self {
            number,
            usable_at,
            injector: Arc::default(),
            server: Arc::clone(server),
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.server.release_connection();
    }
}
