use std::collections::BTreeSet;

use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

use super::{MissingReason, ReplicaHolding, ShardHolding, ShardPlan, SnapshotPlan};

/// Further choices for one request. Each costs a round of sub-requests; replicas that change faster than
/// two rounds leave ranges missing instead.
const MAX_RECHOICES: u32 = 2;

/// Chooses the snapshot of one request.
#[derive(Clone, Debug)]
pub struct SnapshotChooser {
    asked: KeyRange,
    shards: Vec<ShardHolding>,
    rechoices_left: u32,
    /// Upstreams that stated what they hold during this request.
    confirmed: BTreeSet<UpstreamId>,
    /// Snapshots that were stated during this request.
    learned: BTreeSet<SnapshotId>,
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
            confirmed: BTreeSet::new(),
            learned: BTreeSet::new(),
        }
    }

    /// Chooses the snapshot with the widest coverage. Among equals it takes the one with the widest coverage
    /// by replicas known to hold it, then the newest.
    pub fn choose(&self) -> SnapshotPlan {
        let snapshot = self.widest(HoldingView::Stated);
        let is_whole = snapshot.is_none_or(|snapshot| {
            self.coverage(snapshot, HoldingView::Stated) == self.coverage_of_all()
        });
        if is_whole {
            return self.plan(snapshot, HoldingView::Stated);
        }
        // No snapshot is whole by what was stated before the request, and replicas have changed since:
        // the others may have changed in the same way.
        let snapshot = self.widest(HoldingView::Outdated);
        self.plan(snapshot, HoldingView::Outdated)
    }

    /// Records what `upstream` states to hold, in an answer or in a `snapshot_not_held`.
    pub fn record_held(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let replicas = self.shards.iter_mut().flat_map(|shard| &mut shard.replicas);
        for replica in replicas.filter(|replica| replica.upstream == *upstream) {
            replica.held = Some(held.to_vec());
        }
        self.confirmed.insert(upstream.clone());
        self.learned.extend(held);
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

    fn widest(&self, view: HoldingView) -> Option<SnapshotId> {
        let rank = |&snapshot: &SnapshotId| {
            let coverage = self.coverage(snapshot, view);
            (
                coverage,
                self.coverage(snapshot, HoldingView::Known),
                snapshot,
            )
        };
        self.candidates().into_iter().max_by_key(rank)
    }

    /// Number of asked keys that some replica serves at `snapshot`, going by `view`.
    fn coverage(&self, snapshot: SnapshotId, view: HoldingView) -> u64 {
        let serves = |shard: &&ShardHolding| {
            let mut replicas = shard.replicas.iter();
            replicas.any(|replica| self.may_hold(shard, replica, snapshot, view))
        };
        self.asked_keys(self.shards.iter().filter(serves))
    }

    fn coverage_of_all(&self) -> u64 {
        let served = |shard: &&ShardHolding| !shard.replicas.is_empty();
        self.asked_keys(self.shards.iter().filter(served))
    }

    fn asked_keys<'a>(&self, shards: impl Iterator<Item = &'a ShardHolding>) -> u64 {
        shards
            .map(|shard| shard.range.intersect(self.asked).len())
            .sum()
    }

    fn may_hold(
        &self,
        shard: &ShardHolding,
        replica: &ReplicaHolding,
        snapshot: SnapshotId,
        view: HoldingView,
    ) -> bool {
        match &replica.held {
            None => view != HoldingView::Known,
            Some(held) if held.contains(&snapshot) => true,
            Some(_) => view == HoldingView::Outdated && self.may_have_changed(shard, snapshot),
        }
    }

    /// Says whether `shard` may have come to hold `snapshot` unnoticed. A replica that stated otherwise
    /// during the request speaks for its shard.
    fn may_have_changed(&self, shard: &ShardHolding, snapshot: SnapshotId) -> bool {
        let mut replicas = shard.replicas.iter();
        let is_stated = replicas.any(|replica| self.confirmed.contains(&replica.upstream));
        self.learned.contains(&snapshot) && !is_stated
    }

    fn plan(&self, snapshot: Option<SnapshotId>, view: HoldingView) -> SnapshotPlan {
        SnapshotPlan {
            snapshot,
            shards: self
                .shards
                .iter()
                .map(|shard| self.plan_shard(shard, snapshot, view))
                .collect(),
        }
    }

    fn plan_shard(
        &self,
        shard: &ShardHolding,
        snapshot: Option<SnapshotId>,
        view: HoldingView,
    ) -> ShardPlan {
        let may_hold = |replica: &&ReplicaHolding, view| {
            snapshot.is_none_or(|snapshot| self.may_hold(shard, replica, snapshot, view))
        };
        let replicas = shard.replicas.iter();
        let mut replicas: Vec<_> = replicas.filter(|replica| may_hold(replica, view)).collect();
        replicas.sort_by_key(|replica| !may_hold(replica, HoldingView::Known));
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

/// How far statements about held snapshots are trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldingView {
    /// A replica holds what it stated, and nothing when it stated nothing.
    Known,
    /// A replica that stated nothing may hold anything: asking is the only way to learn, and a refusal
    /// states what is held.
    Stated,
    /// Besides, statements from before the request may be outdated: their shard may hold any snapshot that
    /// an upstream stated during the request.
    Outdated,
}
