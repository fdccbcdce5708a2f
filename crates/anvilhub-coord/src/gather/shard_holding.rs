use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

/// A shard and what is known of its usable replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolding {
    /// Keys of the shard.
    pub range: KeyRange,
    /// Replicas that take requests: not leaving, not ejected.
    pub replicas: Vec<ReplicaHolding>,
}

/// A replica and the snapshots that it is known to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaHolding {
    /// The replica.
    pub upstream: UpstreamId,
    /// Snapshots that its latest answer or report states; `None` when it has stated nothing yet.
    pub held_snapshots: Option<Vec<SnapshotId>>,
}
