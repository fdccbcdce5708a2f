use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

use super::{MissingRange, MissingReason};

/// The snapshot to request and the replicas that may serve each shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPlan {
    /// The snapshot; `None` if no replica has reported any. Sub-requests are then sent without one, and the first
    /// answer determines it.
    pub snapshot: Option<SnapshotId>,
    /// The shards that overlap with the requested range, in their original order.
    pub shards: Vec<ShardPlan>,
}

/// The replicas that may serve one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardPlan {
    /// Requested keys of the shard.
    pub range: KeyRange,
    /// Replicas that may hold the snapshot, those known to hold it first.
    pub replicas: Vec<UpstreamId>,
    /// Why no replica can serve the shard, if `replicas` is empty.
    pub unserved_reason: Option<MissingReason>,
}

impl SnapshotPlan {
    /// The requested ranges that no replica can serve at the snapshot.
    pub fn unserved_ranges(&self) -> impl Iterator<Item = MissingRange> {
        self.shards.iter().filter_map(|shard| {
            Some(MissingRange {
                range: shard.range,
                reason: shard.unserved_reason?,
            })
        })
    }
}
