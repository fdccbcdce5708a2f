use std::net::SocketAddr;

use crate::ids::{ConnectionLimit, FailureDomain, SlotCount, UpstreamId};

/// One upstream that serves a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// Identifier, unique within the sheet.
    pub id: UpstreamId,
    /// IP address and port of its HTTP server.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Number of sub-requests that it runs concurrently.
    pub slots: SlotCount,
    /// Number of connections that it accepts from all instances together.
    pub connections: ConnectionLimit,
}
