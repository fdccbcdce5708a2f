use std::net::SocketAddr;

use crate::ids::{ConnectionLimit, FailureDomain, SlotCount, UpstreamId};

/// One upstream that serves a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// Identifier, unique within the sheet.
    pub id: UpstreamId,
    /// IP address and port of its HTTP server.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Sub-requests that it runs at once.
    pub slots: SlotCount,
    /// Connections that it accepts over all instances.
    pub connections: ConnectionLimit,
}
