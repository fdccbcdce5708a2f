use std::sync::Arc;

use anvilhub_coord::border::upstream::{RefusalReason, SubAnswer};
use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::ids::{SnapshotId, UpstreamId};
use anvilhub_coord::routing::{
    AttemptKind, AttemptOutcome, AttemptRule, AttemptState, AttemptVerdict, PickError,
    ReplicaCandidate, ReplicaChoice, ReplicaPicker,
};
use anvilhub_coord::sheet::RouteMode;
use anvilhub_coord::time::ClockTime;
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{debug, info};
use metrics::counter;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::pool::PoolError;
use crate::routes::{SlotGuard, SlotRefusal, UpstreamRoute, states_held};

use super::{AttemptEnd, SubAttempt, SubOrigin, SubQuery};

/// What became of a needed sub-request.
pub(crate) struct SubOutcome {
    pub(crate) result: Result<SubAnswer, MissingReason>,
    /// Snapshots that upstreams stated to hold.
    pub(crate) held: Vec<(UpstreamId, Vec<SnapshotId>)>,
    pub(crate) outcome: AttemptOutcome,
}

/// Runs one needed sub-request: its slot, its attempts, its hedges.
pub(crate) struct SubRun {
    context: Arc<EntryContext>,
    query: SubQuery,
    origin: SubOrigin,
    rule: AttemptRule,
    tried: Vec<bool>,
    /// The upstream of each attempt, as an index of the candidates.
    upstreams: Vec<usize>,
    states: Vec<AttemptState>,
    running: FuturesUnordered<oneshot::Receiver<AttemptEnd>>,
    hedge_due: Option<ClockTime>,
    held: Vec<(UpstreamId, Vec<SnapshotId>)>,
    reason: MissingReason,
    /// Slot of the latest attempt that failed.
    slot: Option<SlotGuard>,
}

enum SubEvent {
    Ended(Option<AttemptEnd>),
    HedgeDue,
    DeadlinePassed,
}

impl SubRun {
    pub(crate) fn new(context: Arc<EntryContext>, query: SubQuery, origin: SubOrigin) -> Self {
        let body = &query.body;
        let policy = body.service.spec.repeatability;
        Self {
            rule: AttemptRule::new(policy, body.idempotent, body.deadline),
            tried: vec![false; query.candidates.len()],
            upstreams: Vec::new(),
            states: Vec::new(),
            running: FuturesUnordered::new(),
            hedge_due: None,
            held: Vec::new(),
            reason: MissingReason::NoReplica,
            slot: None,
            context,
            query,
            origin,
        }
    }

    pub(crate) async fn run(mut self) -> SubOutcome {
        let result = self.answer().await;
        SubOutcome {
            result,
            held: self.held,
            outcome: AttemptOutcome::from_attempts(&self.states),
        }
    }

    async fn answer(&mut self) -> Result<SubAnswer, MissingReason> {
        self.choose(None)?;
        let slot = self.wait_for_slot().await?;
        let now = self.context.clock.now();
        let budget = &self.query.body.service.budget;
        budget.with(|budget| self.origin.earn(budget, now));
        // The views may have changed during the wait.
        let choice = self.choose(None)?;
        self.send(choice, None, Some(slot));
        loop {
            match self.next_event().await {
                SubEvent::Ended(Some(end)) => {
                    if let Some(answer) = self.ended(end) {
                        return Ok(answer);
                    }
                }
                SubEvent::Ended(None) => self.retry().await?,
                SubEvent::HedgeDue => self.hedge(),
                SubEvent::DeadlinePassed => return Err(MissingReason::Timeout),
            }
        }
    }

    async fn next_event(&mut self) -> SubEvent {
        if self.running.is_empty() {
            return SubEvent::Ended(None);
        }
        let now = self.context.clock.now();
        let deadline = self.query.body.deadline;
        let hedge = self.hedge_due.filter(|due| *due < deadline);
        let wake = sleep(hedge.unwrap_or(deadline).since(now));
        tokio::select! {
            // An attempt's task only ends without a report when the runtime stops.
            Some(end) = self.running.next() => SubEvent::Ended(end.ok()),
            () = wake => match hedge {
                Some(_) => SubEvent::HedgeDue,
                None => SubEvent::DeadlinePassed,
            },
        }
    }

    /// Takes in the end of an attempt, and gives the answer if it is one.
    fn ended(&mut self, end: AttemptEnd) -> Option<SubAnswer> {
        self.states[end.index] = end.state();
        let upstream = &self.query.candidates[self.upstreams[end.index]];
        let id = upstream.spec.id.clone();
        match end.result {
            Ok(mut answer) => {
                self.held.push((id, answer.held.clone()));
                // The connection has checked that the answer names the attempt.
                answer.request_id = self.query.id.clone();
                return Some(answer);
            }
            Err(PoolError::Refused { ref refusal }) if states_held(refusal) => {
                self.held.push((id.clone(), refusal.held.clone()));
            }
            Err(_) => {}
        }
        self.slot = end.slot;
        if let Err(error) = end.result {
            debug!(
                request_id:% = self.query.body.request_id, sub_request:% = self.query.id, upstream:% = id;
                "attempt failed: {error}"
            );
            self.reason = missing_reason(&error);
        }
        None
    }

    /// Sends to another replica after every attempt failed.
    async fn retry(&mut self) -> Result<(), MissingReason> {
        let now = self.context.clock.now();
        let kind = AttemptKind::Retry;
        if self.rule.decide(now, kind, &self.states) != AttemptVerdict::Allowed {
            return Err(self.reason);
        }
        self.choose(Some(kind))?;
        let is_paid = self
            .states
            .last()
            .is_some_and(|state| state.reached_upstream());
        if is_paid && !self.spend(now) {
            return Err(self.reason);
        }
        let slot = match self.slot.take() {
            Some(slot) => slot,
            None => self.wait_for_slot().await?,
        };
        let choice = self.choose(Some(kind))?;
        self.send(choice, Some(kind), Some(slot));
        Ok(())
    }

    /// Sends to another replica as well, if a slot is free and the budget pays for it.
    fn hedge(&mut self) {
        let now = self.context.clock.now();
        let kind = AttemptKind::Hedge;
        // Another try is made after the same delay, when the budget may have grown.
        self.hedge_due = self.query.shard.hedge_delay().map(|delay| now + delay);
        if self.rule.decide(now, kind, &self.states) != AttemptVerdict::Allowed {
            return;
        }
        let Ok(choice) = self.choose(Some(kind)) else {
            self.hedge_due = None;
            return;
        };
        let slot = self.query.shard.queue.try_enter();
        if slot.is_none() && !self.may_exceed_share() {
            return;
        }
        if self.spend(now) {
            self.send(choice, Some(kind), slot);
        }
    }

    /// Says whether a hedge needs no slot of its own. The share of an instance that does not own the shard can
    /// be a single slot, which the late attempt occupies.
    fn may_exceed_share(&self) -> bool {
        let shard = &self.query.shard;
        let mode = self.query.body.service.spec.route.mode;
        let owns = mode == RouteMode::Owner && shard.owner().is_none();
        !owns && shard.queue.lengths().1 == 0
    }

    fn choose(&self, further: Option<AttemptKind>) -> Result<ReplicaChoice, MissingReason> {
        let now = self.context.clock.now();
        let domain = &self.context.settings.failure_domain;
        let upstreams = || self.query.candidates.iter().zip(&self.tried);
        let holds = |upstream: &UpstreamRoute| upstream.may_hold(self.query.snapshot);
        let stays = |upstream: &UpstreamRoute| !upstream.load(now).is_leaving;
        // What an upstream holds may have changed since the snapshot was chosen. One that lacks it now is
        // asked only when no other is left: the statement may be outdated. A leaving holder is not asked, so it
        // keeps no other from being asked.
        let is_held =
            upstreams().any(|(upstream, &tried)| !tried && holds(upstream) && stays(upstream));
        let mut candidates: Vec<_> = upstreams()
            .map(|(upstream, &tried)| ReplicaCandidate {
                load: upstream.load(now),
                is_local: upstream.spec.failure_domain == *domain,
                is_tried: tried || (is_held && !holds(upstream)),
                is_full: self.context.pool.is_full(upstream.spec.address),
            })
            .collect();
        let picker = ReplicaPicker::default();
        let mut choice = picker.pick(&candidates, further, &mut rand::rng());
        if choice == Err(PickError::AllFull) && further != Some(AttemptKind::Hedge) {
            // The attempt waits for a connection then.
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.is_full = false);
            choice = picker.pick(&candidates, further, &mut rand::rng());
        }
        choice.map_err(|_| self.reason)
    }

    fn send(&mut self, choice: ReplicaChoice, kind: Option<AttemptKind>, slot: Option<SlotGuard>) {
        let now = self.context.clock.now();
        let upstream = Arc::clone(&self.query.candidates[choice.index]);
        let id = self.context.sub_ids.next();
        let kind = kind.map_or_else(|| "first".to_owned(), |kind| kind.to_string());
        let body = &self.query.body;
        info!(
            request_id:% = body.request_id, sub_request:% = id, shard:% = self.query.shard.name,
            upstream:% = upstream.spec.id, kind, reason:% = choice.reason; "sub-request routed"
        );
        let service = body.service.spec.name.to_string();
        counter!("anvilhub_sub_requests_total", "service" => service, "kind" => kind).increment(1);
        let attempt = SubAttempt {
            context: Arc::clone(&self.context),
            query: self.query.clone(),
            upstream,
            id,
            slot,
            index: self.states.len(),
        };
        self.tried[choice.index] = true;
        self.upstreams.push(choice.index);
        self.states.push(AttemptState::InFlight);
        self.hedge_due = self.query.shard.hedge_delay().map(|delay| now + delay);
        self.running.push(attempt.start());
    }

    async fn wait_for_slot(&self) -> Result<SlotGuard, MissingReason> {
        let body = &self.query.body;
        let slot = self.query.shard.queue.enter(body.urgency, body.deadline);
        slot.await.map_err(|refusal| match refusal {
            SlotRefusal::Expired => MissingReason::Timeout,
            SlotRefusal::Full => MissingReason::Shed,
        })
    }

    fn spend(&self, now: ClockTime) -> bool {
        let budget = &self.query.body.service.budget;
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
        PoolError::BadAnswer { .. } | PoolError::OversizedAnswer { .. } => MissingReason::BadAnswer,
    }
}
