use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

use super::{MissingRange, MissingReason};

/// Which snapshot to ask for, and who may serve each shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPlan {
    /// The snapshot; `None` when no replica has stated any. Sub-requests go out without one then, and the
    /// first answer fixes it.
    pub snapshot: Option<SnapshotId>,
    /// The shards that share keys with the asked range, in the order given.
    pub shards: Vec<ShardPlan>,
}

/// Who may serve one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardPlan {
    /// Asked keys of the shard.
    pub range: KeyRange,
    /// Replicas that may hold the snapshot, those known to hold it first.
    pub replicas: Vec<UpstreamId>,
    /// Why nobody can serve the shard, when `replicas` is empty.
    pub unserved_reason: Option<MissingReason>,
}

impl SnapshotPlan {
    /// The parts of the asked range that nobody can serve at the snapshot.
    pub fn unserved_ranges(&self) -> impl Iterator<Item = MissingRange> {
        self.shards.iter().filter_map(|shard| {
            Some(MissingRange {
                range: shard.range,
                reason: shard.unserved_reason?,
            })
        })
    }
}
