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
    /// Snapshots of its latest answer or report; `None` when it has not stated any.
    pub held: Option<Vec<SnapshotId>>,
}

impl ReplicaHolding {
    /// Says whether the replica may hold `snapshot`. Unknown holdings count as holding it: asking is the
    /// only way to learn, and a refusal states what is held.
    pub(crate) fn may_hold(&self, snapshot: SnapshotId) -> bool {
        self.held
            .as_ref()
            .is_none_or(|held| held.contains(&snapshot))
    }
}

impl ShardHolding {
    pub(crate) fn may_hold(&self, snapshot: SnapshotId) -> bool {
        self.replicas
            .iter()
            .any(|replica| replica.may_hold(snapshot))
    }
}
