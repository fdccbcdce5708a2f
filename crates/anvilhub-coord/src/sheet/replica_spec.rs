use std::net::SocketAddr;

use crate::ids::{ConnectionLimit, FailureDomain, SlotCount, UpstreamId};

/// One upstream that serves a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// Identifier, unique within the sheet.
    pub id: UpstreamId,
    /// IP address and port of the upstream's HTTP server.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub failure_domain: FailureDomain,
    /// Number of sub-requests that the upstream runs concurrently.
    pub slots: SlotCount,
    /// Maximum number of connections that the upstream accepts from all instances together.
    pub max_connections: ConnectionLimit,
}
