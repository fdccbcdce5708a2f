use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    /// Where each upstream is in `shards`. A request has hundreds of answers, each with a statement.
    places: HashMap<UpstreamId, (usize, usize)>,
    rechoices_left: u32,
    /// Every snapshot that was ever stated.
    known: BTreeSet<SnapshotId>,
    /// Number of statements during this request; it orders them.
    statements: u64,
    /// The latest statement of each upstream during this request.
    stated: BTreeMap<UpstreamId, u64>,
    /// The first statement during this request that named each snapshot.
    learned: BTreeMap<SnapshotId, u64>,
}

impl SnapshotChooser {
    /// A chooser for a request over `asked` and the service's shards.
    pub fn new(asked: KeyRange, shards: Vec<ShardHolding>) -> Self {
        let shards: Vec<_> = shards
            .into_iter()
            .filter(|shard| !shard.range.intersection(asked).is_empty())
            .collect();
        let mut places = HashMap::new();
        let mut known = BTreeSet::new();
        for (shard, holding) in shards.iter().enumerate() {
            for (replica, holding) in holding.replicas.iter().enumerate() {
                places.insert(holding.upstream.clone(), (shard, replica));
                known.extend(holding.held_snapshots.iter().flatten());
            }
        }
        Self {
            asked,
            shards,
            places,
            known,
            rechoices_left: MAX_RECHOICES,
            statements: 0,
            stated: BTreeMap::new(),
            learned: BTreeMap::new(),
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
        // No snapshot is whole by what was stated. Replicas have changed since, and the others may have
        // changed in the same way.
        let snapshot = self.widest(HoldingView::Outdated);
        self.plan(snapshot, HoldingView::Outdated)
    }

    /// Records what `upstream` states to hold in an answer to this request or in a refusal of it. An empty
    /// `held` means that it holds none.
    pub fn record_held_snapshots(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let Some(&(shard, replica)) = self.places.get(upstream) else {
            return;
        };
        self.shards[shard].replicas[replica].held_snapshots = Some(held.to_vec());
        self.statements += 1;
        self.stated.insert(upstream.clone(), self.statements);
        for &snapshot in held {
            if self.known.insert(snapshot) {
                self.learned.insert(snapshot, self.statements);
            } else {
                // A statement during the request speaks about every snapshot that was known before it.
                self.learned.entry(snapshot).or_insert(0);
            }
        }
    }

    /// Takes over what other requests or reports have learned of `upstream` since this request began. What
    /// was known already is no new statement.
    pub fn refresh_held_snapshots(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let Some(&(shard, replica)) = self.places.get(upstream) else {
            return;
        };
        if self.shards[shard].replicas[replica]
            .held_snapshots
            .as_deref()
            != Some(held)
        {
            self.record_held_snapshots(upstream, held);
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
            .filter_map(|replica| replica.held_snapshots.as_ref())
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
            .map(|shard| shard.range.intersection(self.asked).len())
            .sum()
    }

    fn may_hold(
        &self,
        shard: &ShardHolding,
        replica: &ReplicaHolding,
        snapshot: SnapshotId,
        view: HoldingView,
    ) -> bool {
        match &replica.held_snapshots {
            None => view != HoldingView::Known,
            Some(held) if held.contains(&snapshot) => true,
            Some(_) => view == HoldingView::Outdated && self.may_have_changed(shard, snapshot),
        }
    }

    /// Says whether `shard` may have come to hold `snapshot` unnoticed: no replica of it has stated
    /// otherwise since the snapshot was first named.
    fn may_have_changed(&self, shard: &ShardHolding, snapshot: SnapshotId) -> bool {
        let Some(learned) = self.learned.get(&snapshot) else {
            return false;
        };
        let replicas = shard.replicas.iter();
        let mut stated = replicas.filter_map(|replica| self.stated.get(&replica.upstream));
        !stated.any(|stated| stated > learned)
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
            range: shard.range.intersection(self.asked),
            replicas: replicas
                .into_iter()
                .map(|replica| replica.upstream.clone())
                .collect(),
            unserved_reason: unserved,
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
    /// Besides, a statement may be outdated: a shard may hold any snapshot that an upstream has named
    /// since.
    Outdated,
}
