use std::collections::BTreeSet;

use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

use super::{MissingReason, ShardHolding, ShardPlan, SnapshotPlan};

/// Further choices for one request. Each costs a round of sub-requests; replicas that change faster than
/// two rounds leave ranges missing instead.
const MAX_RECHOICES: u32 = 2;

/// Chooses the snapshot of one request.
#[derive(Clone, Debug)]
pub struct SnapshotChooser {
    asked: KeyRange,
    shards: Vec<ShardHolding>,
    rechoices_left: u32,
}

impl SnapshotChooser {
    /// A chooser for a request over `asked` and the service's shards.
    pub fn new(asked: KeyRange, shards: Vec<ShardHolding>) -> Self {
        let shards = shards
            .into_iter()
            .filter(|shard| !shard.range.intersect(asked).is_empty())
            .collect();
        Self {
            asked,
            shards,
            rechoices_left: MAX_RECHOICES,
        }
    }

    /// Chooses the snapshot with the widest coverage, the newest among equals.
    pub fn choose(&self) -> SnapshotPlan {
        let snapshot = self
            .candidates()
            .into_iter()
            .max_by_key(|&snapshot| (self.coverage(snapshot), snapshot));
        SnapshotPlan {
            snapshot,
            shards: self
                .shards
                .iter()
                .map(|shard| self.plan(shard, snapshot))
                .collect(),
        }
    }

    /// Records what `upstream` states to hold, in an answer or in a `snapshot_not_held`.
    pub fn record_held(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let replicas = self.shards.iter_mut().flat_map(|shard| &mut shard.replicas);
        for replica in replicas.filter(|replica| replica.upstream == *upstream) {
            replica.held = Some(held.to_vec());
        }
    }

    /// Chooses again after a `snapshot_not_held`. `None` when it has done so twice already: what is missing
    /// is reported as `snapshot_unavailable` then.
    pub fn choose_again(&mut self) -> Option<SnapshotPlan> {
        self.rechoices_left = self.rechoices_left.checked_sub(1)?;
        Some(self.choose())
    }

    fn candidates(&self) -> BTreeSet<SnapshotId> {
        self.shards
            .iter()
            .flat_map(|shard| &shard.replicas)
            .filter_map(|replica| replica.held.as_ref())
            .flatten()
            .copied()
            .collect()
    }

    /// Number of asked keys that some replica may serve at `snapshot`.
    fn coverage(&self, snapshot: SnapshotId) -> u64 {
        self.shards
            .iter()
            .filter(|shard| shard.may_hold(snapshot))
            .map(|shard| shard.range.intersect(self.asked).len())
            .sum()
    }

    fn plan(&self, shard: &ShardHolding, snapshot: Option<SnapshotId>) -> ShardPlan {
        let mut replicas: Vec<_> = shard
            .replicas
            .iter()
            .filter(|replica| snapshot.is_none_or(|snapshot| replica.may_hold(snapshot)))
            .collect();
        replicas.sort_by_key(|replica| replica.held.is_none());
        let unserved = match (shard.replicas.is_empty(), replicas.is_empty()) {
            (true, _) => Some(MissingReason::NoReplica),
            (false, true) => Some(MissingReason::SnapshotUnavailable),
            (false, false) => None,
        };
        ShardPlan {
            range: shard.range.intersect(self.asked),
            replicas: replicas
                .into_iter()
                .map(|replica| replica.upstream.clone())
                .collect(),
            unserved,
        }
    }
}
