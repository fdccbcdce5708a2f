use std::sync::Arc;

use anvilhub_coord::border::upstream::{RefusalReason, SubAnswer};
use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::ids::{SnapshotId, UpstreamId};
use anvilhub_coord::routing::{
    AttemptKind, AttemptRule, AttemptState, AttemptVerdict, PickError, ReplicaCandidate,
    ReplicaChoice, ReplicaPicker, ReportedOutcome,
};
use anvilhub_coord::sheet::RouteMode;
use anvilhub_coord::time::ClockTime;
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{debug, info};
use metrics::counter;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::entry_context::EntryContext;
use crate::pool::PoolError;
use crate::routes::{SlotGuard, SlotRefusal, UpstreamRoute, names_held_snapshots};

use super::{AttemptResult, SubRequestAttempt, SubRequestOrigin, SubRequestPlan};

/// Crashes in a row from which a request is neither retried nor hedged. One crash may have another cause.
const SUSPECT_CRASHES: usize = 2;

/// Outcome of a sub-request after all its attempts.
pub(crate) struct SubRequestOutcome {
    pub(crate) result: Result<SubAnswer, MissingReason>,
    /// Snapshots that each upstream holds, as its answer or refusal reported.
    pub(crate) held_snapshots: Vec<(UpstreamId, Vec<SnapshotId>)>,
    /// Whether the sub-request ran, derived from all its attempts.
    pub(crate) reported_outcome: ReportedOutcome,
}

/// Runs one sub-request: waits for its slot, and sends its first attempt, its retries and its hedges.
pub(crate) struct SubRequestRun {
    context: Arc<EntryContext>,
    plan: SubRequestPlan,
    origin: SubRequestOrigin,
    rule: AttemptRule,
    /// Whether each candidate was tried.
    tried: Vec<bool>,
    /// The upstream of each attempt, as an index into the candidates.
    attempt_upstreams: Vec<usize>,
    attempt_states: Vec<AttemptState>,
    /// Receivers of the results of the attempts in flight.
    running: FuturesUnordered<oneshot::Receiver<AttemptResult>>,
    /// When the next hedge is due, `None` when no hedge is to be sent.
    hedge_due_at: Option<ClockTime>,
    held_snapshots: Vec<(UpstreamId, Vec<SnapshotId>)>,
    /// Why the keys are missing if no further attempt is made.
    missing_reason: MissingReason,
    /// Slot of the latest failed attempt, which a retry reuses.
    reusable_slot: Option<SlotGuard>,
}

enum RunEvent {
    /// An attempt has ended, with its result. `None` when no attempt is running any more, or its task was dropped.
    AttemptEnded(Option<AttemptResult>),
    HedgeDue,
    DeadlinePassed,
}

impl SubRequestRun {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        plan: SubRequestPlan,
        origin: SubRequestOrigin,
    ) -> Self {
        let request = &plan.request;
        let repeat_policy = request.service.spec.repeatability;
        Self {
            rule: AttemptRule::new(repeat_policy, request.is_idempotent, request.deadline),
            tried: vec![false; plan.candidates.len()],
            attempt_upstreams: Vec::new(),
            attempt_states: Vec::new(),
            running: FuturesUnordered::new(),
            hedge_due_at: None,
            held_snapshots: Vec::new(),
            missing_reason: MissingReason::NoReplica,
            reusable_slot: None,
            context,
            plan,
            origin,
        }
    }

    /// Runs the sub-request until an attempt is answered, no further attempt is allowed, or the deadline passes.
    pub(crate) async fn run(mut self) -> SubRequestOutcome {
        let result = self.run_attempts().await;
        SubRequestOutcome {
            result,
            held_snapshots: self.held_snapshots,
            reported_outcome: ReportedOutcome::from_attempts(&self.attempt_states),
        }
    }

    /// Makes attempts until one is answered. Returns why the keys are missing when none is.
    async fn run_attempts(&mut self) -> Result<SubAnswer, MissingReason> {
        // Fails at once when no replica is usable.
        self.choose_replica(None)?;
        let slot = self.wait_for_slot().await?;
        if self.is_blamed() {
            return Err(self.missing_reason);
        }
        let now = self.context.clock.now();
        let budget = &self.plan.request.service.budget;
        budget.with(|budget| self.origin.earn_budget(budget, now));
        // The state of the replicas may have changed during the wait.
        let choice = self.choose_replica(None)?;
        self.start_attempt(choice, None, Some(slot));
        loop {
            match self.next_event().await {
                RunEvent::AttemptEnded(Some(result)) => {
                    if let Some(answer) = self.record_result(result) {
                        return Ok(answer);
                    }
                }
                RunEvent::AttemptEnded(None) => self.retry().await?,
                RunEvent::HedgeDue => self.try_hedge(),
                RunEvent::DeadlinePassed => return Err(MissingReason::Timeout),
            }
        }
    }

    /// Waits until an attempt ends, a hedge is due, or the deadline passes.
    async fn next_event(&mut self) -> RunEvent {
        if self.running.is_empty() {
            return RunEvent::AttemptEnded(None);
        }
        let now = self.context.clock.now();
        let deadline = self.plan.request.deadline;
        let hedge_due_at = self.hedge_due_at.filter(|due_at| *due_at < deadline);
        let wake = sleep(hedge_due_at.unwrap_or(deadline).since(now));
        tokio::select! {
            // A process that is slow finds a result and the deadline at once.
            biased;
            // The task of an attempt ends without a result only when the runtime stops.
            Some(result) = self.running.next() => RunEvent::AttemptEnded(result.ok()),
            () = wake => match hedge_due_at {
                Some(_) => RunEvent::HedgeDue,
                None => RunEvent::DeadlinePassed,
            },
        }
    }

    /// Records the result of an attempt, and returns the answer if there is one.
    fn record_result(&mut self, attempt: AttemptResult) -> Option<SubAnswer> {
        self.attempt_states[attempt.index] = attempt.state();
        let upstream = &self.plan.candidates[self.attempt_upstreams[attempt.index]];
        let id = upstream.spec.id.clone();
        match attempt.result {
            Ok(mut answer) => {
                self.held_snapshots.push((id, answer.held.clone()));
                // The pool has checked that the answer carries the identifier of the attempt.
                answer.request_id = self.plan.id.clone();
                return Some(answer);
            }
            Err(PoolError::Refused { ref refusal }) if names_held_snapshots(refusal) => {
                self.held_snapshots.push((id.clone(), refusal.held.clone()));
            }
            Err(_) => {}
        }
        self.reusable_slot = attempt.slot;
        if let Err(error) = attempt.result {
            debug!(
                request_id:% = self.plan.request.request_id, sub_request:% = self.plan.id, upstream:% = id;
                "attempt failed: {error}"
            );
            self.missing_reason = missing_reason(&error);
        }
        None
    }

    /// Sends the sub-request to another replica after every attempt has failed.
    async fn retry(&mut self) -> Result<(), MissingReason> {
        let now = self.context.clock.now();
        let kind = AttemptKind::Retry;
        if self.rule.decide(now, kind, &self.attempt_states) != AttemptVerdict::Allowed
            || self.is_suspect()
        {
            return Err(self.missing_reason);
        }
        self.choose_replica(Some(kind))?;
        let needs_budget = self
            .attempt_states
            .last()
            .is_some_and(|state| state.reached_upstream());
        if needs_budget && !self.spend_budget(now) {
            return Err(self.missing_reason);
        }
        let slot = match self.reusable_slot.take() {
            Some(slot) => slot,
            None => self.wait_for_slot().await?,
        };
        let choice = self.choose_replica(Some(kind))?;
        self.start_attempt(choice, Some(kind), Some(slot));
        Ok(())
    }

    /// Sends the sub-request to another replica as well, if a slot is free and the retry budget allows it.
    fn try_hedge(&mut self) {
        let now = self.context.clock.now();
        let kind = AttemptKind::Hedge;
        // A hedge that the retry budget does not allow now is tried again after the same delay.
        self.hedge_due_at = self.plan.shard.hedge_delay().map(|delay| now + delay);
        if self.rule.decide(now, kind, &self.attempt_states) != AttemptVerdict::Allowed
            || self.is_suspect()
        {
            return;
        }
        let Ok(choice) = self.choose_replica(Some(kind)) else {
            self.hedge_due_at = None;
            return;
        };
        let slot = self.plan.shard.queue.try_acquire_slot();
        if slot.is_none() && !self.may_exceed_share() {
            return;
        }
        if self.spend_budget(now) {
            self.start_attempt(choice, Some(kind), slot);
        }
    }

    /// Returns whether the request crashes the upstreams that run it, and must not be sent.
    fn is_blamed(&self) -> bool {
        let crashes = &self.context.crashes;
        crashes.verdict(&self.plan.request.fingerprint).is_blamed()
    }

    /// Returns whether the request has crashed upstreams repeatedly, so that one upstream at a time is enough.
    fn is_suspect(&self) -> bool {
        let crashes = &self.context.crashes;
        crashes.crash_count(&self.plan.request.fingerprint) >= SUSPECT_CRASHES
    }

    /// Returns whether a hedge needs no slot of its own. The share of an instance that does not own the shard may
    /// be a single slot, which the late attempt occupies.
    fn may_exceed_share(&self) -> bool {
        let shard = &self.plan.shard;
        let mode = self.plan.request.service.spec.route.mode;
        let is_owner = mode == RouteMode::Owner && shard.owner().is_none();
        !is_owner && shard.queue.waiting_count() == 0
    }

    /// Chooses the replica for an attempt. `kind` is `None` for the first one.
    fn choose_replica(&self, kind: Option<AttemptKind>) -> Result<ReplicaChoice, MissingReason> {
        let now = self.context.clock.now();
        let domain = &self.context.settings.failure_domain;
        let upstreams = || self.plan.candidates.iter().zip(&self.tried);
        let may_hold = |upstream: &UpstreamRoute| upstream.may_hold(self.plan.snapshot);
        let is_staying = |upstream: &UpstreamRoute| !upstream.current_load(now).is_leaving;
        // The snapshots that an upstream holds may have changed since the snapshot was chosen. An upstream that
        // lacks it now is used only when no other is left, because its last report may be outdated. Leaving
        // upstreams are not used, so a leaving upstream that holds the snapshot does not exclude those that lack it.
        let has_holder = upstreams()
            .any(|(upstream, &tried)| !tried && may_hold(upstream) && is_staying(upstream));
        let mut candidates: Vec<_> = upstreams()
            .map(|(upstream, &tried)| ReplicaCandidate {
                load: upstream.current_load(now),
                is_local: upstream.spec.failure_domain == *domain,
                is_excluded: tried || (has_holder && !may_hold(upstream)),
                lacks_connection: self.context.pool.is_full(upstream.spec.address),
            })
            .collect();
        let picker = ReplicaPicker::default();
        let mut choice = picker.pick(&candidates, kind, &mut rand::rng());
        if choice == Err(PickError::AllFull) && kind != Some(AttemptKind::Hedge) {
            // The attempt will wait for a connection.
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.lacks_connection = false);
            choice = picker.pick(&candidates, kind, &mut rand::rng());
        }
        choice.map_err(|_| self.missing_reason)
    }

    /// Starts an attempt at the chosen replica. `kind` is `None` for the first one.
    fn start_attempt(
        &mut self,
        choice: ReplicaChoice,
        kind: Option<AttemptKind>,
        slot: Option<SlotGuard>,
    ) {
        let now = self.context.clock.now();
        let upstream = Arc::clone(&self.plan.candidates[choice.index]);
        let id = self.context.sub_request_ids.next();
        let kind = kind.map_or_else(|| "first".to_owned(), |kind| kind.to_string());
        let request = &self.plan.request;
        info!(
            request_id:% = request.request_id, sub_request:% = id, shard:% = self.plan.shard.name,
            upstream:% = upstream.spec.id, kind, reason:% = choice.reason; "sub-request routed"
        );
        let service = request.service.spec.name.to_string();
        counter!("anvilhub_sub_requests_total", "service" => service, "kind" => kind).increment(1);
        let attempt = SubRequestAttempt {
            context: Arc::clone(&self.context),
            plan: self.plan.clone(),
            upstream,
            id,
            slot,
            index: self.attempt_states.len(),
        };
        self.plan.send_mark.set();
        self.tried[choice.index] = true;
        self.attempt_upstreams.push(choice.index);
        self.attempt_states.push(AttemptState::InFlight);
        self.hedge_due_at = self.plan.shard.hedge_delay().map(|delay| now + delay);
        self.running.push(attempt.start());
    }

    /// Waits for a slot of the shard until too little time is left.
    async fn wait_for_slot(&self) -> Result<SlotGuard, MissingReason> {
        let request = &self.plan.request;
        let slot = self
            .plan
            .shard
            .queue
            .acquire_slot(request.urgency, request.deadline);
        slot.await.map_err(|refusal| match refusal {
            SlotRefusal::Expired => MissingReason::Timeout,
            SlotRefusal::Full => MissingReason::Shed,
        })
    }

    /// Spends retry budget for one attempt. Returns whether there was enough.
    fn spend_budget(&self, now: ClockTime) -> bool {
        let budget = &self.plan.request.service.budget;
        budget.with(|budget| budget.try_spend(now))
    }
}

fn missing_reason(error: &PoolError) -> MissingReason {
    match error {
        PoolError::Unconnected { .. } => MissingReason::NoReplica,
        PoolError::Refused { refusal } => match refusal.reason {
            RefusalReason::SnapshotNotHeld => MissingReason::SnapshotUnavailable,
            RefusalReason::Deadline => MissingReason::Timeout,
            RefusalReason::Draining => MissingReason::NoReplica,
            RefusalReason::Shed | RefusalReason::Cold => MissingReason::Shed,
        },
        PoolError::Unsent { .. } | PoolError::Timeout { .. } | PoolError::Broken { .. } => {
            MissingReason::Timeout
        }
        PoolError::BadAnswer { .. }
        | PoolError::OversizedAnswer { .. }
        | PoolError::ExhaustedBuffer { .. } => MissingReason::BadAnswer,
    }
}
