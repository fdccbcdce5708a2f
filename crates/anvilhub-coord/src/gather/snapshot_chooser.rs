use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{SnapshotId, UpstreamId};
use crate::keyspace::KeyRange;

use super::{MissingReason, ReplicaHolding, ShardHolding, ShardPlan, SnapshotPlan};

/// Maximum number of further choices for one request, each of which costs a round of sub-requests. If replicas still
/// change snapshots after them, ranges are reported as missing.
const MAX_RECHOICES: u32 = 2;

/// Chooses the snapshot that one request searches.
#[derive(Clone, Debug)]
pub struct SnapshotChooser {
    requested: KeyRange,
    shards: Vec<ShardHolding>,
    /// Index of the shard and of the replica of each upstream, since a request has hundreds of answers and each one
    /// reports held snapshots.
    replica_indexes: HashMap<UpstreamId, (usize, usize)>,
    rechoices_left: u32,
    /// Every snapshot that any replica has reported.
    known_snapshots: BTreeSet<SnapshotId>,
    /// Number of reports of held snapshots during this request. Reports are numbered in order from one.
    report_count: u64,
    /// Number of the latest report of each upstream during this request.
    last_reports: BTreeMap<UpstreamId, u64>,
    /// Number of the first report during this request that named each snapshot; zero if it was known before.
    first_reports: BTreeMap<SnapshotId, u64>,
}

impl SnapshotChooser {
    /// Creates a chooser for a request over the range `requested` of a service with `shards`.
    pub fn new(requested: KeyRange, shards: Vec<ShardHolding>) -> Self {
        let shards: Vec<_> = shards
            .into_iter()
            .filter(|shard| !shard.range.intersection(requested).is_empty())
            .collect();
        let mut replica_indexes = HashMap::new();
        let mut known_snapshots = BTreeSet::new();
        for (shard_index, shard) in shards.iter().enumerate() {
            for (replica_index, replica) in shard.replicas.iter().enumerate() {
                replica_indexes.insert(replica.upstream.clone(), (shard_index, replica_index));
                known_snapshots.extend(replica.held_snapshots.iter().flatten());
            }
        }
        Self {
            requested,
            shards,
            replica_indexes,
            known_snapshots,
            rechoices_left: MAX_RECHOICES,
            report_count: 0,
            last_reports: BTreeMap::new(),
            first_reports: BTreeMap::new(),
        }
    }

    /// Chooses the snapshot with the widest coverage. If there are several, takes the one with the widest
    /// coverage by replicas that reported it, and then the newest.
    pub fn choose(&self) -> SnapshotPlan {
        let snapshot = self.widest_snapshot(HoldingAssumption::UnreportedMayHold);
        let is_complete = snapshot.is_none_or(|snapshot| {
            self.coverage(snapshot, HoldingAssumption::UnreportedMayHold) == self.max_coverage()
        });
        if is_complete {
            return self.build_plan(snapshot, HoldingAssumption::UnreportedMayHold);
        }
        // According to the reports, no snapshot is complete. Some replicas have therefore changed snapshots since
        // their reports, and the others may have changed in the same way.
        let snapshot = self.widest_snapshot(HoldingAssumption::ReportsMayBeOutdated);
        self.build_plan(snapshot, HoldingAssumption::ReportsMayBeOutdated)
    }

    /// Records the snapshots that `upstream` holds according to its answer to this request or its refusal of it. An
    /// empty `held` means that it holds none.
    pub fn record_held_snapshots(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let Some(&(shard_index, replica_index)) = self.replica_indexes.get(upstream) else {
            return;
        };
        self.shards[shard_index].replicas[replica_index].held_snapshots = Some(held.to_vec());
        self.report_count += 1;
        self.last_reports
            .insert(upstream.clone(), self.report_count);
        for &snapshot in held {
            if self.known_snapshots.insert(snapshot) {
                self.first_reports.insert(snapshot, self.report_count);
            } else {
                // Every report during the request is newer than a snapshot that was known before it.
                self.first_reports.entry(snapshot).or_insert(0);
            }
        }
    }

    /// Records the snapshots that `upstream` holds according to other requests or to load reports since this
    /// request began. Does nothing if `held` is already known, since it is not a new report then.
    pub fn refresh_held_snapshots(&mut self, upstream: &UpstreamId, held: &[SnapshotId]) {
        let Some(&(shard_index, replica_index)) = self.replica_indexes.get(upstream) else {
            return;
        };
        if self.shards[shard_index].replicas[replica_index]
            .held_snapshots
            .as_deref()
            != Some(held)
        {
            self.record_held_snapshots(upstream, held);
        }
    }

    /// Chooses again after a `snapshot_not_held` answer. Returns `None` after the maximum of further choices; what
    /// is missing is then reported as `snapshot_unavailable`.
    pub fn choose_again(&mut self) -> Option<SnapshotPlan> {
        self.rechoices_left = self.rechoices_left.checked_sub(1)?;
        Some(self.choose())
    }

    fn reported_snapshots(&self) -> BTreeSet<SnapshotId> {
        self.shards
            .iter()
            .flat_map(|shard| &shard.replicas)
            .filter_map(|replica| replica.held_snapshots.as_ref())
            .flatten()
            .copied()
            .collect()
    }

    fn widest_snapshot(&self, assumption: HoldingAssumption) -> Option<SnapshotId> {
        let rank = |&snapshot: &SnapshotId| {
            let coverage = self.coverage(snapshot, assumption);
            (
                coverage,
                self.coverage(snapshot, HoldingAssumption::ReportedOnly),
                snapshot,
            )
        };
        self.reported_snapshots().into_iter().max_by_key(rank)
    }

    /// Number of requested keys that some replica may serve at `snapshot` under `assumption`.
    fn coverage(&self, snapshot: SnapshotId, assumption: HoldingAssumption) -> u64 {
        let serves = |shard: &&ShardHolding| {
            let mut replicas = shard.replicas.iter();
            replicas.any(|replica| self.may_hold(shard, replica, snapshot, assumption))
        };
        self.requested_keys(self.shards.iter().filter(serves))
    }

    /// Number of requested keys of shards that have a replica.
    fn max_coverage(&self) -> u64 {
        let served = |shard: &&ShardHolding| !shard.replicas.is_empty();
        self.requested_keys(self.shards.iter().filter(served))
    }

    fn requested_keys<'a>(&self, shards: impl Iterator<Item = &'a ShardHolding>) -> u64 {
        shards
            .map(|shard| shard.range.intersection(self.requested).len())
            .sum()
    }

    fn may_hold(
        &self,
        shard: &ShardHolding,
        replica: &ReplicaHolding,
        snapshot: SnapshotId,
        assumption: HoldingAssumption,
    ) -> bool {
        match &replica.held_snapshots {
            None => assumption != HoldingAssumption::ReportedOnly,
            Some(held) if held.contains(&snapshot) => true,
            Some(_) => {
                assumption == HoldingAssumption::ReportsMayBeOutdated
                    && self.may_have_changed(shard, snapshot)
            }
        }
    }

    /// Returns whether `shard` may hold `snapshot` without having reported it: none of its replicas has reported
    /// since the snapshot was first named.
    fn may_have_changed(&self, shard: &ShardHolding, snapshot: SnapshotId) -> bool {
        let Some(first_report) = self.first_reports.get(&snapshot) else {
            return false;
        };
        let replicas = shard.replicas.iter();
        let mut last_reports =
            replicas.filter_map(|replica| self.last_reports.get(&replica.upstream));
        !last_reports.any(|last_report| last_report > first_report)
    }

    fn build_plan(
        &self,
        snapshot: Option<SnapshotId>,
        assumption: HoldingAssumption,
    ) -> SnapshotPlan {
        SnapshotPlan {
            snapshot,
            shards: self
                .shards
                .iter()
                .map(|shard| self.plan_shard(shard, snapshot, assumption))
                .collect(),
        }
    }

    fn plan_shard(
        &self,
        shard: &ShardHolding,
        snapshot: Option<SnapshotId>,
        assumption: HoldingAssumption,
    ) -> ShardPlan {
        let may_hold = |replica: &&ReplicaHolding, assumption| {
            snapshot.is_none_or(|snapshot| self.may_hold(shard, replica, snapshot, assumption))
        };
        let replicas = shard.replicas.iter();
        let mut replicas: Vec<_> = replicas
            .filter(|replica| may_hold(replica, assumption))
            .collect();
        replicas.sort_by_key(|replica| !may_hold(replica, HoldingAssumption::ReportedOnly));
        let unserved_reason = match (shard.replicas.is_empty(), replicas.is_empty()) {
            (true, _) => Some(MissingReason::NoReplica),
            (false, true) => Some(MissingReason::SnapshotUnavailable),
            (false, false) => None,
        };
        ShardPlan {
            range: shard.range.intersection(self.requested),
            replicas: replicas
                .into_iter()
                .map(|replica| replica.upstream.clone())
                .collect(),
            unserved_reason,
        }
    }
}

/// Assumption about the snapshots that a replica holds beyond those it reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldingAssumption {
    /// A replica holds only what it reported, and nothing if it has not reported.
    ReportedOnly,
    /// A replica that has not reported may hold any snapshot. Only a sub-request can tell, and a refusal reports what
    /// the replica holds.
    UnreportedMayHold,
    /// In addition, a report may be outdated: a shard may hold any snapshot that an upstream has named since.
    ReportsMayBeOutdated,
}
