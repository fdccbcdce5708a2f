use std::time::Duration;

use anvilhub_coord::sheet::RepeatPolicy;

/// Number of sub-requests that a replica runs concurrently.
const SLOTS_PER_REPLICA: u32 = 2;

/// One service of a deployment: its size and limits, which determine the offered load.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Name in the output tables.
    pub name: &'static str,
    /// Number of shards; every query fans out to all of them.
    pub shard_count: usize,
    /// Number of replicas of each shard.
    pub replica_count: usize,
    /// Number of sub-requests that a replica runs concurrently.
    pub slots_per_replica: u32,
    /// Maximum number of connections that a replica accepts.
    pub max_connections: u32,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Whether its requests may be run more than once.
    pub repeatability: RepeatPolicy,
}

impl ServiceLoad {
    /// Describes a service of `shard_count` shards with `replica_count` replicas each, which have two slots each.
    pub(super) const fn new(
        name: &'static str,
        (shard_count, replica_count): (usize, usize),
        max_connections: u32,
        connect_millis: u64,
        repeatability: RepeatPolicy,
    ) -> Self {
        Self {
            name,
            shard_count,
            replica_count,
            slots_per_replica: SLOTS_PER_REPLICA,
            max_connections,
            connect_time: Duration::from_millis(connect_millis),
            repeatability,
        }
    }
}
