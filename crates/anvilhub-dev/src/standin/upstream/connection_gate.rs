use std::sync::Arc;

use tokio::time::Instant;

use super::fault_stream::StreamPlan;
use super::replica_server::ReplicaServer;

/// An accepted connection; it counts against the limit until it is dropped.
pub(crate) struct ConnectionGate {
    /// Position in the order of acceptance at its replica.
    pub(crate) number: u64,
    /// Time before which the connection answers nothing.
    pub(crate) usable_at: Instant,
    pub(crate) plan: Arc<StreamPlan>,
    server: Arc<ReplicaServer>,
}

impl ConnectionGate {
    /// Registers a connection, or refuses it because of the limit.
    pub(crate) fn open(server: &Arc<ReplicaServer>, now: Instant) -> Option<Self> {
        let (number, usable_at) = server.count_opening(now)?;
        Some(Self {
            number,
            usable_at,
            plan: Arc::default(),
            server: Arc::clone(server),
        })
    }
}

impl Drop for ConnectionGate {
    fn drop(&mut self) {
        self.server.count_closing();
    }
}
