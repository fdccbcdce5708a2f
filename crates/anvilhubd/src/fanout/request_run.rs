use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use anvilhub_coord::gather::{
    AnswerFault, AnswerGather, GatherLimits, GatheredAnswer, MissingReason, ShardPlan,
    SnapshotChooser, SnapshotPlan,
};
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::ReportedOutcome;
use anvilhub_coord::sheet::RouteMode;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{info, warn};
use tokio::time::sleep;

use crate::entry_context::EntryContext;
use crate::routes::{ShardRoute, UpstreamRoute};

use super::{
    BatchCall, FanoutRequest, SendMark, SubRequestOrigin, SubRequestPlan, SubRequestResult,
    SubRequestRun, ping_owner,
};

/// The gathered answer to a request.
pub(super) struct GatheredRequest {
    pub(super) answer: GatheredAnswer,
    /// Whether it is certain that no sub-request ran.
    pub(super) is_not_run: bool,
}

/// Gathers the answer to one request, in rounds of sub-requests that each use one snapshot.
pub(super) struct RequestRun {
    context: Arc<EntryContext>,
    request: Arc<FanoutRequest>,
    /// The shards that overlap the requested range.
    shards: Vec<Arc<ShardRoute>>,
    gather: AnswerGather,
    chooser: SnapshotChooser,
    /// The sub-requests and calls of owners that have not ended.
    running: FuturesUnordered<BoxFuture<'static, Vec<SubRequestResult>>>,
    /// Marks of the sub-requests that this instance sends itself.
    send_marks: HashMap<RequestId, SendMark>,
    /// Whether a shard lacked the current snapshot in this round.
    lacks_snapshot: bool,
    /// Outcomes of the sub-requests that have ended or were cancelled.
    reported_outcomes: Vec<ReportedOutcome>,
}

impl RequestRun {
    /// Creates the run of `request` over `range`.
    pub(super) fn new(context: Arc<EntryContext>, request: FanoutRequest, range: KeyRange) -> Self {
        let now = context.clock.now();
        let shards: Vec<_> = request.service.shards_in(range).cloned().collect();
        let holdings = shards
            .iter()
            .map(|shard| shard.snapshot_holding(now))
            .collect();
        Self {
            gather: AnswerGather::new(range, GatherLimits::default()),
            chooser: SnapshotChooser::new(range, holdings),
            request: Arc::new(request),
            shards,
            running: FuturesUnordered::new(),
            send_marks: HashMap::new(),
            lacks_snapshot: false,
            reported_outcomes: Vec::new(),
            context,
        }
    }

    /// Gathers until the answer is complete, no sub-request is left that could complete it, or the deadline is reached.
    pub(super) async fn run(mut self) -> GatheredRequest {
        self.start_round(&self.chooser.choose(), "first choice");
        let time_left = self.request.deadline.since(self.context.clock.now());
        // At the midpoint the snapshot may be replaced, so that half of the time is left for another one if a late
        // shard delays the current one.
        let mut midpoint = Box::pin(sleep(time_left / 2));
        let mut deadline = Box::pin(sleep(time_left));
        let mut is_before_midpoint = true;
        loop {
            if self.gather.is_complete() || (self.running.is_empty() && !self.start_next_round()) {
                break;
            }
            tokio::select! {
                // A process that is slow finds results and the deadline at once.
                biased;
                Some(results) = self.running.next() => self.record_results(results),
                () = &mut midpoint, if is_before_midpoint => {
                    is_before_midpoint = false;
                    self.replace_snapshot();
                }
                () = &mut deadline => break,
            }
        }
        self.record_unsent();
        self.finish()
    }

    /// Records that the awaited sub-requests without an attempt did not run. They are not polled again, so none begins.
    fn record_unsent(&mut self) {
        let is_unsent = |id: &&RequestId| {
            let send_mark = self.send_marks.get(*id);
            send_mark.is_some_and(|send_mark| !send_mark.is_set())
        };
        let unsent: Vec<RequestId> = self
            .gather
            .awaited_requests()
            .filter(is_unsent)
            .cloned()
            .collect();
        for id in unsent {
            self.reported_outcomes.push(ReportedOutcome::NotRun);
            self.gather.record_failure(&id, MissingReason::Timeout);
        }
    }

    fn finish(self) -> GatheredRequest {
        let is_not_run = self.gather.is_idle()
            && self
                .reported_outcomes
                .iter()
                .all(|outcome| *outcome == ReportedOutcome::NotRun);
        GatheredRequest {
            answer: self.gather.finish(),
            is_not_run,
        }
    }

    /// Starts sub-requests for every key range that is still missing at the snapshot of `plan`.
    fn start_round(&mut self, plan: &SnapshotPlan, reason: &str) {
        if let Some(snapshot) = plan.snapshot {
            self.gather.pin_snapshot(snapshot);
        }
        self.lacks_snapshot = false;
        for missing in plan.unserved_ranges() {
            self.gather.record_missing(missing.range, missing.reason);
            self.lacks_snapshot |= missing.reason == MissingReason::SnapshotUnavailable;
        }
        let gaps = self.gather.gaps();
        let mut sub_requests = Vec::new();
        for (shard, shard_plan) in self.shards.iter().zip(&plan.shards) {
            if shard_plan.unserved_reason.is_some() {
                continue;
            }
            let ranges = gaps
                .ranges()
                .iter()
                .map(|gap| gap.intersection(shard_plan.range));
            for range in ranges.filter(|range| !range.is_empty()) {
                let candidates = select_candidates(shard, shard_plan, plan.snapshot);
                sub_requests.push(self.plan_sub_request(shard, range, candidates));
            }
        }
        let snapshot = self.gather.snapshot().map(|snapshot| snapshot.to_string());
        let sub_request_count = sub_requests.len();
        let owner_count = self.start_sub_requests(sub_requests);
        info!(
            request_id:% = self.request.request_id, service:% = self.request.service.spec.name, snapshot:?,
            sub_requests = sub_request_count, owners = owner_count, reason; "sub-requests started"
        );
    }

    fn plan_sub_request(
        &self,
        shard: &Arc<ShardRoute>,
        range: KeyRange,
        candidates: Vec<Arc<UpstreamRoute>>,
    ) -> SubRequestPlan {
        SubRequestPlan {
            id: self.context.sub_request_ids.next(),
            request: Arc::clone(&self.request),
            shard: Arc::clone(shard),
            candidates,
            range,
            snapshot: self.gather.snapshot(),
            send_mark: SendMark::default(),
        }
    }

    /// Starts sub-requests, and returns the number of other instances that run some of them.
    fn start_sub_requests(&mut self, sub_requests: Vec<SubRequestPlan>) -> usize {
        let mut batches: BTreeMap<SocketAddr, Vec<SubRequestPlan>> = BTreeMap::new();
        for sub_request in sub_requests {
            self.gather
                .register(sub_request.id.clone(), sub_request.range);
            match self.batch_owner(&sub_request) {
                Some(owner) => batches.entry(owner).or_default().push(sub_request),
                None => self.start_direct(sub_request),
            }
        }
        let owner_count = batches.len();
        for (owner, sub_requests) in batches {
            info!(
                request_id:% = self.request.request_id, owner:% = owner, sub_requests = sub_requests.len(),
                reason = "the owner queues for the slots of these shards"; "sub-requests sent to their owner"
            );
            let call = BatchCall {
                context: Arc::clone(&self.context),
                owner,
                plans: sub_requests,
            };
            self.running.push(call.run().boxed());
        }
        owner_count
    }

    /// Returns the other instance that runs a sub-request, `None` when it is sent directly to an upstream.
    fn batch_owner(&self, sub_request: &SubRequestPlan) -> Option<SocketAddr> {
        let spec = &self.request.service.spec;
        if spec.route.mode == RouteMode::Direct || !self.request.is_idempotent {
            return None;
        }
        let owner = sub_request.shard.owner()?;
        let now = self.context.clock.now();
        if self.context.owners.is_bypassed(owner, now) {
            ping_owner(&self.context, owner);
            return None;
        }
        Some(owner)
    }

    /// Starts a sub-request that this instance sends to an upstream itself.
    fn start_direct(&mut self, sub_request: SubRequestPlan) {
        let (id, shard) = (sub_request.id.clone(), Arc::clone(&sub_request.shard));
        self.send_marks
            .insert(id.clone(), sub_request.send_mark.clone());
        let context = Arc::clone(&self.context);
        let run = SubRequestRun::new(context, sub_request, SubRequestOrigin::Direct).run();
        let results = run.map(|outcome| vec![SubRequestResult { id, shard, outcome }]);
        self.running.push(results.boxed());
    }

    fn record_results(&mut self, results: Vec<SubRequestResult>) {
        for result in results {
            self.record_result(result);
        }
        self.retry_repartitioned();
    }

    fn record_result(&mut self, result: SubRequestResult) {
        for (upstream, held) in &result.outcome.held_snapshots {
            self.chooser.record_held_snapshots(upstream, held);
        }
        self.reported_outcomes.push(result.outcome.reported_outcome);
        let reason = match result.outcome.result {
            Ok(answer) => match self.gather.accept_answer(&result.id, answer) {
                Ok(()) => return,
                Err(fault) => {
                    warn!(request_id:% = self.request.request_id, shard:% = result.shard.name; "{fault}");
                    self.lacks_snapshot |= matches!(fault, AnswerFault::WrongSnapshot { .. });
                    return;
                }
            },
            Err(reason) => reason,
        };
        self.lacks_snapshot |= reason == MissingReason::SnapshotUnavailable;
        self.gather.record_failure(&result.id, reason);
    }

    /// Starts a sub-request for each range of keys that moved to another upstream, at the replicas whose last
    /// reported ranges cover it. Each range is retried once.
    fn retry_repartitioned(&mut self) {
        let mut gaps = self.gather.take_repartitioned();
        let mut sub_requests = Vec::new();
        for shard in &self.request.service.shards {
            for reported in reported_ranges(shard) {
                let ranges: Vec<_> = gaps
                    .ranges()
                    .iter()
                    .map(|gap| gap.intersection(reported))
                    .collect();
                for range in ranges.into_iter().filter(|range| !range.is_empty()) {
                    gaps.remove(range);
                    let covers = |reported: KeyRange| reported.covers(range);
                    let replicas = shard.replicas.iter();
                    let candidates = replicas
                        .filter(|replica| replica.reported_range().is_some_and(covers))
                        .cloned()
                        .collect();
                    sub_requests.push(self.plan_sub_request(shard, range, candidates));
                }
            }
        }
        for &gap in gaps.ranges() {
            sub_requests.extend(self.plan_for_adjacent_shard(gap));
        }
        if sub_requests.is_empty() {
            return;
        }
        info!(
            request_id:% = self.request.request_id, sub_requests = sub_requests.len(),
            reason = "keys moved to other upstreams"; "sub-requests started again"
        );
        self.start_sub_requests(sub_requests);
    }

    /// Plans a sub-request for moved keys at the shard next to them, if another instance owns that shard: only the
    /// owner then knows the ranges that its replicas report.
    fn plan_for_adjacent_shard(&self, gap: KeyRange) -> Option<SubRequestPlan> {
        let shard = self.request.service.adjacent_shard(gap)?;
        let is_range_unknown = shard.owner().is_some() && reported_ranges(shard).is_empty();
        is_range_unknown.then(|| self.plan_sub_request(shard, gap, shard.replicas.clone()))
    }

    /// Starts a round with another snapshot if a shard lacked the current one. Returns whether anything was started.
    fn start_next_round(&mut self) -> bool {
        if !self.lacks_snapshot || self.gather.is_complete() {
            return false;
        }
        self.refresh_holdings();
        let Some(plan) = self.chooser.choose_again() else {
            return false;
        };
        self.start_round(&plan, "a shard lacked the snapshot");
        !self.running.is_empty()
    }

    /// Replaces a snapshot that some shard lacks by a snapshot that covers more, without waiting for late shards.
    fn replace_snapshot(&mut self) {
        if !self.lacks_snapshot {
            return;
        }
        self.refresh_holdings();
        if self.chooser.choose().snapshot == self.gather.snapshot() {
            return;
        }
        let Some(plan) = self.chooser.choose_again() else {
            return;
        };
        self.reported_outcomes.push(ReportedOutcome::Unknown);
        // Dropping the sub-requests cancels them, and `pin_snapshot` stops expecting their answers.
        self.running = FuturesUnordered::new();
        self.start_round(&plan, "another snapshot covers more");
    }

    /// Updates the chooser with what other requests have learned meanwhile about the snapshots of the replicas.
    fn refresh_holdings(&mut self) {
        for replica in self.shards.iter().flat_map(|shard| &shard.replicas) {
            if let Some(held) = replica.held_snapshots() {
                self.chooser.refresh_held_snapshots(&replica.spec.id, &held);
            }
        }
    }
}

/// Returns the replicas that may run a sub-request: those of the plan, and the ejected ones that it leaves out,
/// which a retry uses last. If any of them still covers the shard's keys, only those that do are returned.
fn select_candidates(
    shard: &ShardRoute,
    plan: &ShardPlan,
    snapshot: Option<SnapshotId>,
) -> Vec<Arc<UpstreamRoute>> {
    let is_candidate = |replica: &&Arc<UpstreamRoute>| {
        plan.replicas.contains(&replica.spec.id) || replica.may_hold(snapshot)
    };
    let covering = shard.replicas_covering(plan.range);
    let candidates: Vec<_> = covering.iter().filter(is_candidate).cloned().collect();
    match candidates.is_empty() {
        true => shard
            .replicas
            .iter()
            .filter(is_candidate)
            .cloned()
            .collect(),
        false => candidates,
    }
}

/// Returns the key ranges that the replicas of a shard last reported, without leaving replicas.
fn reported_ranges(shard: &ShardRoute) -> Vec<KeyRange> {
    let replicas = shard.replicas.iter();
    replicas
        .filter(|replica| replica.leaving_signal().is_none())
        .filter_map(|replica| replica.reported_range())
        .collect()
}
