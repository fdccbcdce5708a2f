use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anvilhub_coord::gather::{
    AnswerFault, AnswerGather, GatherLimits, GatheredAnswer, MissingReason, ShardPlan,
    SnapshotChooser, SnapshotPlan,
};
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::AttemptOutcome;
use anvilhub_coord::sheet::RouteMode;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{info, warn};
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::routes::{ShardRoute, UpstreamRoute};

use super::{BatchCall, PieceEnd, QueryBody, SubOrigin, SubQuery, SubRun, ping_owner};

/// What was gathered for a request.
pub(super) struct GatheredRequest {
    pub(super) answer: GatheredAnswer,
    /// Says whether no sub-request can have run.
    pub(super) is_not_run: bool,
}

/// Gathers the answer to one request: rounds of sub-requests at one snapshot each.
pub(super) struct RequestRun {
    context: Arc<EntryContext>,
    body: Arc<QueryBody>,
    shards: Vec<Arc<ShardRoute>>,
    gather: AnswerGather,
    chooser: SnapshotChooser,
    running: FuturesUnordered<BoxFuture<'static, Vec<PieceEnd>>>,
    lacks_snapshot: bool,
    outcomes: Vec<AttemptOutcome>,
}

impl RequestRun {
    pub(super) fn new(context: Arc<EntryContext>, body: QueryBody, asked: KeyRange) -> Self {
        let now = context.clock.now();
        let shards: Vec<_> = body.service.shards_in(asked).cloned().collect();
        let holdings = shards.iter().map(|shard| shard.holding(now)).collect();
        Self {
            gather: AnswerGather::new(asked, GatherLimits::default()),
            chooser: SnapshotChooser::new(asked, holdings),
            body: Arc::new(body),
            shards,
            running: FuturesUnordered::new(),
            lacks_snapshot: false,
            outcomes: Vec::new(),
            context,
        }
    }

    /// Gathers until the answer is complete, nothing more can be done, or it has to go out.
    pub(super) async fn run(mut self) -> GatheredRequest {
        self.start_round(&self.chooser.choose(), "first choice");
        let left = self.body.deadline.since(self.context.clock.now());
        // Half of the time is kept for another snapshot when a late shard holds up the present one.
        let mut half_time = Box::pin(sleep(left / 2));
        let mut deadline = Box::pin(sleep(left));
        let mut is_early = true;
        loop {
            if self.gather.is_complete() || (self.running.is_empty() && !self.choose_again()) {
                break;
            }
            tokio::select! {
                Some(ends) = self.running.next() => self.take_all(ends),
                () = &mut half_time, if is_early => {
                    is_early = false;
                    self.leave_snapshot();
                }
                () = &mut deadline => break,
            }
        }
        self.finish()
    }

    fn finish(self) -> GatheredRequest {
        let awaited = !self.gather.is_idle();
        let is_not_run = !awaited
            && self
                .outcomes
                .iter()
                .all(|outcome| *outcome == AttemptOutcome::NotRun);
        GatheredRequest {
            answer: self.gather.finish(),
            is_not_run,
        }
    }

    /// Asks for everything that the gathered snapshot lacks.
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
        let mut queries = Vec::new();
        for (shard, shard_plan) in self.shards.iter().zip(&plan.shards) {
            if shard_plan.unserved_reason.is_some() {
                continue;
            }
            let parts = gaps
                .ranges()
                .iter()
                .map(|gap| gap.intersection(shard_plan.range));
            for range in parts.filter(|part| !part.is_empty()) {
                let candidates = candidates(shard, shard_plan, plan.snapshot);
                queries.push(self.sub_query(shard, range, candidates));
            }
        }
        let snapshot = self.gather.snapshot().map(|snapshot| snapshot.to_string());
        let sub_requests = queries.len();
        let owners = self.start(queries);
        info!(
            request_id:% = self.body.request_id, service:% = self.body.service.spec.name, snapshot:?,
            sub_requests, owners, reason; "request placed"
        );
    }

    fn sub_query(
        &self,
        shard: &Arc<ShardRoute>,
        range: KeyRange,
        candidates: Vec<Arc<UpstreamRoute>>,
    ) -> SubQuery {
        SubQuery {
            id: self.context.sub_ids.next(),
            body: Arc::clone(&self.body),
            shard: Arc::clone(shard),
            candidates,
            range,
            snapshot: self.gather.snapshot(),
        }
    }

    /// Starts sub-requests, and gives the number of other instances that run some of them.
    fn start(&mut self, queries: Vec<SubQuery>) -> usize {
        let mut batches: BTreeMap<SocketAddr, Vec<SubQuery>> = BTreeMap::new();
        for query in queries {
            self.gather.register(query.id.clone(), query.range);
            match self.owner(&query) {
                Some(owner) => batches.entry(owner).or_default().push(query),
                None => self.start_direct(query),
            }
        }
        let owners = batches.len();
        for (owner, queries) in batches {
            info!(
                request_id:% = self.body.request_id, owner:% = owner, sub_requests = queries.len(),
                reason = "the owner queues for the slots of these shards"; "sub-requests placed"
            );
            let call = BatchCall {
                context: Arc::clone(&self.context),
                owner,
                queries,
            };
            self.running.push(call.run().boxed());
        }
        owners
    }

    /// The other instance that runs a sub-request, if any.
    fn owner(&self, query: &SubQuery) -> Option<SocketAddr> {
        let spec = &self.body.service.spec;
        if spec.route.mode == RouteMode::Direct || !self.body.idempotent {
            return None;
        }
        let owner = query.shard.owner()?;
        let now = self.context.clock.now();
        if self.context.owners.is_bypassed(owner, now) {
            ping_owner(&self.context, owner);
            return None;
        }
        Some(owner)
    }

    fn start_direct(&self, query: SubQuery) {
        let (id, shard) = (query.id.clone(), Arc::clone(&query.shard));
        let run = SubRun::new(Arc::clone(&self.context), query, SubOrigin::Direct).run();
        let end = run.map(|outcome| vec![PieceEnd { id, shard, outcome }]);
        self.running.push(end.boxed());
    }

    fn take_all(&mut self, ends: Vec<PieceEnd>) {
        for end in ends {
            self.take(end);
        }
        self.ask_again_after_repartition();
    }

    fn take(&mut self, end: PieceEnd) {
        for (upstream, held) in &end.outcome.held {
            self.chooser.record_held_snapshots(upstream, held);
        }
        self.outcomes.push(end.outcome.outcome);
        let reason = match end.outcome.result {
            Ok(answer) => match self.gather.accept_answer(&end.id, answer) {
                Ok(()) => return,
                Err(fault) => {
                    warn!(request_id:% = self.body.request_id, shard:% = end.shard.name; "{fault}");
                    self.lacks_snapshot |= matches!(fault, AnswerFault::WrongSnapshot { .. });
                    return;
                }
            },
            Err(reason) => reason,
        };
        self.lacks_snapshot |= reason == MissingReason::SnapshotUnavailable;
        self.gather.record_failure(&end.id, reason);
    }

    /// Asks for keys that moved to another upstream, each once, where the last reported ranges cover them.
    fn ask_again_after_repartition(&mut self) {
        let mut gaps = self.gather.take_repartitioned();
        let mut queries = Vec::new();
        for shard in &self.body.service.shards {
            for range in reported_ranges(shard) {
                let parts: Vec<_> = gaps
                    .ranges()
                    .iter()
                    .map(|gap| gap.intersection(range))
                    .collect();
                for part in parts.into_iter().filter(|part| !part.is_empty()) {
                    gaps.remove(part);
                    let covers = |known: KeyRange| known.covers(part);
                    let replicas = shard.replicas.iter();
                    let candidates = replicas
                        .filter(|replica| replica.reported_range().is_some_and(covers))
                        .cloned()
                        .collect();
                    queries.push(self.sub_query(shard, part, candidates));
                }
            }
        }
        for &gap in gaps.ranges() {
            queries.extend(self.ask_neighbour(gap));
        }
        if queries.is_empty() {
            return;
        }
        info!(
            request_id:% = self.body.request_id, sub_requests = queries.len(),
            reason = "keys moved to other upstreams"; "request placed again"
        );
        self.start(queries);
    }

    /// A sub-request for moved keys to the shard next to them, when another instance owns that shard and only
    /// it knows the ranges.
    fn ask_neighbour(&self, gap: KeyRange) -> Option<SubQuery> {
        let shard = self.body.service.neighbour(gap)?;
        let is_unknown = shard.owner().is_some() && reported_ranges(shard).is_empty();
        is_unknown.then(|| self.sub_query(shard, gap, shard.replicas.clone()))
    }

    /// Starts another round after a shard lacked the snapshot; `false` when there is nothing more to do.
    fn choose_again(&mut self) -> bool {
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

    /// Gives up a snapshot that some shard lacks, when another one covers more, without waiting for late shards.
    fn leave_snapshot(&mut self) {
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
        self.outcomes.push(AttemptOutcome::Unknown);
        // Dropping the sub-requests cancels them; `pin` gives up on their answers.
        self.running = FuturesUnordered::new();
        self.start_round(&plan, "another snapshot covers more");
    }

    /// Other requests may have learned meanwhile what the replicas hold.
    fn refresh_holdings(&mut self) {
        for replica in self.shards.iter().flat_map(|shard| &shard.replicas) {
            if let Some(held) = replica.held() {
                self.chooser.refresh_held_snapshots(&replica.spec.id, &held);
            }
        }
    }
}

/// The replicas of the plan, and those that it leaves out as ejected: they are the last resort of a retry. Among
/// them those that still cover the shard's keys go first.
fn candidates(
    shard: &ShardRoute,
    plan: &ShardPlan,
    snapshot: Option<SnapshotId>,
) -> Vec<Arc<UpstreamRoute>> {
    let is_candidate = |replica: &&Arc<UpstreamRoute>| {
        plan.replicas.contains(&replica.spec.id) || replica.may_hold(snapshot)
    };
    let covering = shard.covering(plan.range);
    let found: Vec<_> = covering.iter().filter(is_candidate).cloned().collect();
    match found.is_empty() {
        true => shard
            .replicas
            .iter()
            .filter(is_candidate)
            .cloned()
            .collect(),
        false => found,
    }
}

fn reported_ranges(shard: &ShardRoute) -> Vec<KeyRange> {
    let replicas = shard.replicas.iter();
    replicas
        .filter(|replica| replica.leaving().is_none())
        .filter_map(|replica| replica.reported_range())
        .collect()
}
