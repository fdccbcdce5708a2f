use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

/// A shard and the snapshots that its usable replicas hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolding {
    /// Keys of the shard.
    pub range: KeyRange,
    /// Replicas that accept requests: neither leaving nor ejected.
    pub replicas: Vec<ReplicaHolding>,
}

/// A replica and the snapshots that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaHolding {
    /// The replica.
    pub upstream: UpstreamId,
    /// Snapshots that its latest answer or load report named; `None` before the first one.
    pub held_snapshots: Option<Vec<SnapshotId>>,
}
