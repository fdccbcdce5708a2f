use anvilhub_coord::border::sheet::RepeatPolicy;

/// Describes a service whose shards divide the key space evenly.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// The only caller that the service allows.
    pub caller: &'static str,
    /// Whether requests of the service may run more than once.
    pub repeatability: RepeatPolicy,
    /// Number of shards.
    pub shard_count: u64,
    /// Number of replicas of each shard.
    pub replica_count: usize,
}

impl ServicePlan {
    /// Returns a small service of searches: 4 shards with 2 replicas each.
    pub fn stock() -> Self {
        Self {
            name: "stock",
            caller: "foreman",
            repeatability: RepeatPolicy::Idempotent,
            shard_count: 4,
            replica_count: 2,
        }
    }

    /// Returns a small service of requests that must not run twice: 1 shard with 3 replicas.
    pub fn dispatch() -> Self {
        Self {
            name: "dispatch",
            caller: "dispatcher",
            repeatability: RepeatPolicy::NonIdempotent,
            shard_count: 1,
            replica_count: 3,
        }
    }
}
