use std::time::Duration;

use anvilhub_coord::sheet::RepeatPolicy;

/// Sub-requests that every replica runs concurrently.
const REPLICA_SLOTS: u32 = 2;

/// One service of a deployment: its size and limits, which determine the offered load.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Name in the output tables.
    pub name: &'static str,
    /// Number of shards; every query fans out to all of them.
    pub shards: usize,
    /// Replicas per shard.
    pub replicas: usize,
    /// Sub-requests that a replica runs concurrently.
    pub slots: u32,
    /// Connections that a replica accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Whether its requests may be run more than once.
    pub repeat: RepeatPolicy,
}

impl ServiceLoad {
    /// Describes a service whose replicas have two slots each.
    pub(super) const fn new(
        name: &'static str,
        (shards, replicas): (usize, usize),
        connections: u32,
        connect_millis: u64,
        repeat: RepeatPolicy,
    ) -> Self {
        Self {
            name,
            shards,
            replicas,
            slots: REPLICA_SLOTS,
            connections,
            connect_time: Duration::from_millis(connect_millis),
            repeat,
        }
    }
}
