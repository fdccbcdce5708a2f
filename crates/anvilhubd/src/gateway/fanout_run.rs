use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::crash::{RunCrashes, SendVerdict};
use anvilhub_coord::gateway::{
    CapacityClaim, CutoffVerdict, HedgeRule, RankedReplica, RemoteCost, ReplicaRanker, SkipRule,
    SubRequestState, TopRecords,
};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use super::{
    AttemptOutcome, AttemptReport, AttemptRun, FanoutOutcome, FanoutPlan, ForwardedRequest,
    Gateway, RefusalWait, RouteState, RunGuard, SendCause, SendGate, SubRequest, SubRequestOutcome,
    TrackedUpstream, UpstreamAnswer,
};

/// Factor by which the expected latency of a sub-request must exceed the time until the cutoff for it to be skipped. It
/// is greater than 1 because the expected latency is only approximate.
const SKIP_FACTOR: u32 = 2;
/// Time after which a hedge that is due looks again whether this instance is in doubt about its reach. Upstreams that are
/// reached end the doubt within a round trip.
const DOUBT_RECHECK: Duration = Duration::from_millis(10);

/// The upstream chosen for an attempt, with the properties by which candidates were compared.
type UpstreamChoice = (Arc<TrackedUpstream>, RankedReplica);

/// Sends a sub-request to one upstream of each service, with hedges and retries where needed, and merges the answers.
pub(super) struct FanoutRun {
    gateway: Arc<Gateway>,
    request: Arc<ForwardedRequest>,
    route_state: Arc<RouteState>,
    plan: FanoutPlan,
    sub_requests: Vec<SubRequest>,
    records: TopRecords,
    single_answer: Option<UpstreamAnswer>,
    extra_send_count: u32,
    may_have_run: bool,
    /// What the bytes of an attempt are worth if it leaves the failure domain; `None` without a price.
    transfer_time: Option<Duration>,
    /// How carefully attempts are sent after crashes of upstreams.
    crashes: RunCrashes,
    /// The gate of the attempt that shows whether the request crashes upstreams; `None` while there is none.
    trial: Option<Arc<SendGate>>,
    /// Sub-requests whose next attempt waits for the outcome of the trial.
    held: VecDeque<(usize, SendCause)>,
    guard: RunGuard,
    report_sender: UnboundedSender<AttemptReport>,
    report_receiver: UnboundedReceiver<AttemptReport>,
}

impl FanoutRun {
    /// Prepares the sub-requests of `request`; nothing is sent yet.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        request: Arc<ForwardedRequest>,
        route_state: Arc<RouteState>,
        plan: FanoutPlan,
    ) -> Self {
        let sub_requests = plan
            .services
            .iter()
            .map(|service| {
                let mut sub_request = SubRequest::new(service.clone());
                sub_request.look_up(&gateway, &plan.home_regions);
                sub_request
            })
            .collect();
        let grace_period = match plan.repeat_policy {
            RepeatPolicy::Idempotent => Some(gateway.settings.abandoned_grace_period),
            RepeatPolicy::NonIdempotent => None,
        };
        let transfer_time = gateway.settings.remote_price.map(|price| {
            RemoteCost::transfer_time(request.size(), route_state.expected_answer_size(), price)
        });
        let crashes = RunCrashes::new(gateway.fleet.crashes.verdict(&request.fingerprint));
        let (report_sender, report_receiver) = unbounded_channel();
        Self {
            gateway,
            request,
            route_state,
            sub_requests,
            records: TopRecords::new(plan.max_records.unwrap_or(0)),
            plan,
            single_answer: None,
            extra_send_count: 0,
            may_have_run: false,
            transfer_time,
            crashes,
            trial: None,
            held: VecDeque::new(),
            guard: RunGuard::new(grace_period),
            report_sender,
            report_receiver,
        }
    }

    /// Sends the sub-requests and waits until the plan's cutoff decides how the request ends, at the latest until callers
    /// must be answered because this instance stops.
    pub(super) async fn run(mut self) -> FanoutOutcome {
        if let Some(deadline) = self.gateway.stop_deadline.get() {
            let time_left = deadline.since(self.plan.arrived_at);
            self.plan.cutoff.final_cutoff = self.plan.cutoff.final_cutoff.min(time_left);
            if self.time_waited() >= time_left {
                return self.finish(false);
            }
        }
        let now = self.gateway.clock.now();
        let choices: Vec<Option<UpstreamChoice>> = (0..self.sub_requests.len())
            .map(|index| self.choose_listed_upstream(index, now))
            .collect();
        if count_sendable(&choices) < self.plan.cutoff.min_sub_requests {
            // Too few services have an upstream that may get the request now. Nothing is sent.
            return self.finish(false);
        }
        let skipped = self.choose_skipped(&choices);
        for (index, choice) in choices.into_iter().enumerate() {
            match (skipped.contains(&index), choice) {
                (true, _) => self.sub_requests[index].outcome = SubRequestOutcome::Skipped,
                (false, Some(choice)) => {
                    self.send_to(index, SendCause::First, choice);
                }
                (false, None) => {
                    let sub_request = &mut self.sub_requests[index];
                    if let Some(wait) = sub_request.refusal_wait(&self.gateway, now) {
                        sub_request.record_refusal(wait.reason);
                    }
                }
            }
        }
        let mut stays = false;
        loop {
            let waited = self.time_waited();
            let states: Vec<SubRequestState> = self
                .sub_requests
                .iter()
                .map(|sub_request| sub_request.state)
                .collect();
            match self.plan.cutoff.verdict(&states, waited) {
                CutoffVerdict::Wait => {}
                CutoffVerdict::Answer => return self.finish(true),
                CutoffVerdict::Fail => return self.finish(false),
            }
            let pause = self.next_event_time(waited).saturating_sub(waited);
            tokio::select! {
                // A process that is slow finds a report and the cutoff at once.
                biased;
                report = self.report_receiver.recv() => {
                    if let Some(report) = report {
                        self.handle_report(report);
                    }
                    while let Ok(report) = self.report_receiver.try_recv() {
                        self.handle_report(report);
                    }
                }
                () = self.gateway.stop_deadline.wait(self.gateway.clock) => {
                    self.plan.cutoff.final_cutoff = self.time_waited();
                }
                () = self.gateway.reach.wait_cut_off(), if !stays => match self.try_leave() {
                    true => return self.finish_cut_off(),
                    // The answers may still arrive once the cut is over.
                    false => stays = true,
                },
                () = sleep(pause) => {
                    let lag = self.time_waited().saturating_sub(waited + pause);
                    self.gateway.timer_lag.with(|timer_lag| timer_lag.record(lag));
                    self.send_due_hedges();
                }
            }
        }
    }

    /// Returns when enough upstreams may get the request and why they may not now; `None` if enough of them may get it.
    fn refusal_wait(&mut self, now: ClockTime) -> Option<RefusalWait> {
        let mut waits = Vec::new();
        // Sub-requests whose services have no upstream in use; no wait helps them.
        let mut unavailable_count = 0;
        for sub_request in &mut self.sub_requests {
            if sub_request.state == SubRequestState::Done {
                continue;
            }
            let Some(wait) = sub_request.refusal_wait(&self.gateway, now) else {
                if !sub_request.has_staying_upstream(&self.gateway, now) {
                    unavailable_count += 1;
                }
                continue;
            };
            sub_request.record_refusal(wait.reason);
            waits.push(wait);
        }
        waits.sort_by_key(|wait| wait.time);
        let sendable_count = self.sub_requests.len() - waits.len() - unavailable_count;
        let missing_count = self
            .plan
            .cutoff
            .min_sub_requests
            .saturating_sub(sendable_count);
        let last_index = waits.len().checked_sub(1)?;
        waits
            .get(missing_count.checked_sub(1)?.min(last_index))
            .copied()
    }

    /// Returns the indexes of the sub-requests that are not sent because their answers are expected too late. Enough
    /// others remain for an answer.
    fn choose_skipped(&self, choices: &[Option<UpstreamChoice>]) -> Vec<usize> {
        let cutoff = &self.plan.cutoff;
        let rule = SkipRule {
            max_expected_time: cutoff.target_cutoff * SKIP_FACTOR,
            max_skips: count_sendable(choices).saturating_sub(cutoff.min_sub_requests),
        };
        if rule.max_skips == 0 || rule.max_expected_time.is_zero() {
            return Vec::new();
        }
        let expected_latency = |choice: &Option<UpstreamChoice>| match choice {
            Some((_, candidate)) => self.plan.typical_latency.mul_f64(candidate.cost),
            None => Duration::ZERO,
        };
        let expected_latencies: Vec<Duration> = choices.iter().map(expected_latency).collect();
        rule.choose(&expected_latencies)
    }

    /// Returns the time since the request arrived.
    fn time_waited(&self) -> Duration {
        self.gateway.clock.now().since(self.plan.arrived_at)
    }

    /// Returns the time, counted from the arrival of the request, at which the next hedge or cutoff is due.
    fn next_event_time(&self, waited: Duration) -> Duration {
        let hedges = self
            .sub_requests
            .iter()
            .filter_map(|sub_request| sub_request.hedge_at);
        let hedge = hedges.min().map(|at| at.since(self.plan.arrived_at));
        let cutoff = self.plan.cutoff.next_cutoff(waited);
        hedge.map_or(cutoff, |hedge| hedge.min(cutoff))
    }

    /// Sends the hedges that are due, if the rules allow them.
    fn send_due_hedges(&mut self) {
        let now = self.gateway.clock.now();
        for index in 0..self.sub_requests.len() {
            let sub_request = &mut self.sub_requests[index];
            if sub_request.hedge_at.is_none_or(|at| now < at) {
                continue;
            }
            if self.gateway.reach.is_in_doubt() {
                // Sent into a cut, it would use up the attempt with which the request could move.
                sub_request.hedge_at = Some(now + DOUBT_RECHECK);
                continue;
            }
            sub_request.hedge_at = None;
            self.send_to_another(index, SendCause::Hedge);
        }
    }

    /// Sends a sub-request to an upstream that it was not sent to before; returns whether it was sent.
    fn send_to_another(&mut self, index: usize, cause: SendCause) -> bool {
        let now = self.gateway.clock.now();
        let choice = self.choose_listed_upstream(index, now);
        choice.is_some_and(|choice| self.send_to(index, cause, choice))
    }

    /// Chooses an upstream for the next attempt of a sub-request. Upstreams that were replaced after the last look are not
    /// suitable any more, so looks again as long as the lists change.
    fn choose_listed_upstream(&mut self, index: usize, now: ClockTime) -> Option<UpstreamChoice> {
        loop {
            let choice = self.choose_upstream(index, now);
            let sub_request = &mut self.sub_requests[index];
            if choice.is_some() || !sub_request.look_up(&self.gateway, &self.plan.home_regions) {
                return choice;
            }
        }
    }

    /// Sends a sub-request to the chosen upstream if the rules for hedges, the route's limit of attempts and the retry
    /// budget allow it; returns whether it was sent.
    fn send_to(&mut self, index: usize, cause: SendCause, choice: UpstreamChoice) -> bool {
        let now = self.gateway.clock.now();
        let (upstream, candidate) = choice;
        let priority = self.plan.claim.priority;
        if cause == SendCause::Hedge
            && !HedgeRule::default().allows(
                &candidate,
                priority,
                upstream.connection_queue.waiting_priority(),
            )
        {
            return false;
        }
        let sub_request = &mut self.sub_requests[index];
        let Some(group) = &sub_request.group else {
            return false;
        };
        if sub_request.send_count >= self.plan.max_attempts {
            return false;
        }
        match self.crashes.verdict() {
            SendVerdict::Send => {}
            SendVerdict::Hold if cause == SendCause::Hedge => return false,
            SendVerdict::Hold => {
                sub_request.state = SubRequestState::Waiting;
                self.held.push_back((index, cause));
                return true;
            }
            SendVerdict::Refuse => return false,
        }
        let is_extra = sub_request.send_count > 0;
        let is_allowed = match (cause, is_extra) {
            (SendCause::First, _) => {
                group
                    .retry_budget
                    .with(|retry_budget| retry_budget.earn(now));
                true
            }
            (_, false) => true,
            (_, true) => group
                .retry_budget
                .with(|retry_budget| retry_budget.try_spend(now)),
        };
        if !is_allowed {
            self.gateway.record_budget_refusal(&sub_request.service);
            return false;
        }
        if is_extra {
            self.extra_send_count += 1;
        }
        let is_suspect = upstream.stats.with(|stats| stats.is_suspect());
        sub_request.state = match is_suspect && cause == SendCause::First {
            true => SubRequestState::Suspect,
            false => SubRequestState::Waiting,
        };
        sub_request.outcome = SubRequestOutcome::Waiting;
        sub_request.send_count += 1;
        sub_request.in_flight_count += 1;
        sub_request.hedge_at = match self.plan.repeat_policy {
            RepeatPolicy::Idempotent => Some(now + self.plan.hedge_delay),
            RepeatPolicy::NonIdempotent => None,
        };
        sub_request.tried_upstreams.push(Arc::clone(&upstream));
        self.gateway
            .fleet
            .limits
            .record_send(&upstream.process, is_extra);
        self.gateway.fleet.warmups.reserve(&upstream.process);
        let gate = self.start_attempt(index, upstream, is_extra);
        if self.crashes.record_send() {
            self.trial = Some(gate);
        }
        true
    }

    /// Chooses an upstream for the next attempt of a sub-request among those that were looked up last; `None` if none of them
    /// is suitable.
    fn choose_upstream(&self, index: usize, now: ClockTime) -> Option<UpstreamChoice> {
        let sub_request = &self.sub_requests[index];
        let group = sub_request.group.as_ref()?;
        let settings = &self.gateway.settings;
        let candidates: Vec<_> = group
            .upstreams
            .iter()
            .map(|upstream| {
                let was_tried = sub_request.was_sent_to(upstream);
                let permit = self.gateway.fleet.send_permit(now, &upstream.process);
                let typical_latency = self.plan.typical_latency;
                let transfer_time = self.transfer_time;
                upstream.to_candidate(
                    now,
                    typical_latency,
                    settings,
                    permit,
                    transfer_time,
                    was_tried,
                )
            })
            .collect();
        let is_repeat = !sub_request.tried_upstreams.is_empty();
        let mut ranker = ReplicaRanker::default();
        if self.transfer_time.is_some()
            && !is_repeat
            && let Some(saving) = ranker.remote_saving(&candidates)
        {
            let typical_latency = self.plan.typical_latency;
            ranker.leaving_share = group.spillover.record_choice(now, typical_latency, &saving);
        }
        let chosen = ranker.choose(&candidates, is_repeat, rand::random::<f64>)?;
        Some((Arc::clone(&group.upstreams[chosen]), candidates[chosen]))
    }

    /// Starts an attempt in the background, and returns its gate; its outcome arrives at `report_receiver`.
    fn start_attempt(
        &mut self,
        index: usize,
        upstream: Arc<TrackedUpstream>,
        is_extra: bool,
    ) -> Arc<SendGate> {
        let deadline = self.plan.arrived_at + self.plan.cutoff.final_cutoff;
        let gate = Arc::new(SendGate::default());
        // The cost of leaving contains the extra round trip; the upstream's observed slowdown must not count it again.
        let extra_round_trip = match self.transfer_time {
            Some(_) => upstream.distance.extra_round_trip().unwrap_or_default(),
            None => Duration::ZERO,
        };
        let attempt = AttemptRun {
            gate: Arc::clone(&gate),
            gateway: Arc::clone(&self.gateway),
            upstream,
            request: Arc::clone(&self.request),
            route_state: Arc::clone(&self.route_state),
            repeat_policy: self.plan.repeat_policy,
            typical_latency: self.plan.typical_latency + extra_round_trip,
            deadline,
            claim: CapacityClaim {
                is_extra,
                deadline,
                ..self.plan.claim
            },
        };
        let report_sender = self.report_sender.clone();
        let report_gate = Arc::clone(&gate);
        let task = tokio::spawn(async move {
            let report = AttemptReport {
                index,
                gate: report_gate,
                outcome: attempt.run().await,
            };
            // Sending fails if the request has already ended and the receiver was dropped.
            let _ = report_sender.send(report);
        });
        self.guard.add(index, &task, Arc::clone(&gate));
        gate
    }

    /// Records how an attempt ended, and what follows from it.
    fn handle_report(&mut self, report: AttemptReport) {
        let AttemptReport {
            index,
            gate,
            outcome,
        } = report;
        self.guard.forget(&gate);
        self.record_crash_outcome(&gate, &outcome);
        self.handle_outcome(index, outcome);
        self.resume_held();
    }

    /// Records what the outcome of an attempt shows about crashes.
    fn record_crash_outcome(&mut self, gate: &Arc<SendGate>, outcome: &AttemptOutcome) {
        let is_trial = self
            .trial
            .as_ref()
            .is_some_and(|trial| Arc::ptr_eq(trial, gate));
        match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::FailedAtUpstream(_) => {
                self.crashes.record_completion();
            }
            AttemptOutcome::Crashed { .. } => self.crashes.record_crash(is_trial),
            _ => self.crashes.record_other_end(is_trial),
        }
    }

    /// Sends the sub-requests that no longer have to wait for the trial.
    fn resume_held(&mut self) {
        while let Some((index, cause)) = self.held.pop_front() {
            match self.crashes.verdict() {
                SendVerdict::Hold => return self.held.push_front((index, cause)),
                SendVerdict::Send if self.send_to_another(index, cause) => {}
                SendVerdict::Send | SendVerdict::Refuse => self.record_unserved(index),
            }
        }
    }

    /// Decides what follows from the outcome of an attempt: sends the sub-request to another upstream if repeating it is
    /// allowed and an upstream is available.
    fn handle_outcome(&mut self, index: usize, outcome: AttemptOutcome) {
        let is_idempotent = self.plan.repeat_policy == RepeatPolicy::Idempotent;
        let sub_request = &mut self.sub_requests[index];
        sub_request.in_flight_count -= 1;
        if sub_request.state == SubRequestState::Done {
            return;
        }
        let (may_retry, cause) = match outcome {
            AttemptOutcome::Answered(answer) => return self.record_answer(index, answer),
            AttemptOutcome::FailedAtUpstream(answer) => {
                self.may_have_run = true;
                sub_request.outcome =
                    SubRequestOutcome::Ended(format!("status_{}", answer.status.as_u16()));
                if self.plan.max_records.is_none() {
                    self.single_answer = Some(answer);
                }
                (is_idempotent, SendCause::Retry)
            }
            AttemptOutcome::NotRun { status } => {
                sub_request.outcome =
                    SubRequestOutcome::Ended(format!("not_run_{}", status.as_u16()));
                (true, SendCause::Retry)
            }
            AttemptOutcome::NotSent { reason } => {
                sub_request.send_count -= 1;
                sub_request.outcome = SubRequestOutcome::Ended(reason);
                (true, SendCause::Resend)
            }
            AttemptOutcome::Rejected { reason } => {
                sub_request.send_count -= 1;
                sub_request.outcome = SubRequestOutcome::Ended(format!("not_sent_{reason}"));
                (true, SendCause::Resend)
            }
            AttemptOutcome::Unsuitable => {
                sub_request.send_count -= 1;
                sub_request.outcome = SubRequestOutcome::Ended(
                    "the upstream is leaving, rests, is cold, is evacuated or was removed"
                        .to_owned(),
                );
                (true, SendCause::Resend)
            }
            AttemptOutcome::Withdrawn => {
                sub_request.send_count -= 1;
                (false, SendCause::Resend)
            }
            AttemptOutcome::Crashed { reason } | AttemptOutcome::Unknown { reason, .. } => {
                self.may_have_run = true;
                sub_request.outcome = SubRequestOutcome::Ended(reason);
                (is_idempotent, SendCause::Retry)
            }
        };
        if may_retry && self.send_to_another(index, cause) {
            return;
        }
        self.record_unserved(index);
    }

    /// Records that a sub-request gets no further attempt. It has failed unless one is in flight.
    fn record_unserved(&mut self, index: usize) {
        let sub_request = &mut self.sub_requests[index];
        if sub_request.in_flight_count == 0 && sub_request.state != SubRequestState::Done {
            sub_request.state = SubRequestState::Failed;
            sub_request.hedge_at = None;
        }
    }

    fn record_answer(&mut self, index: usize, answer: UpstreamAnswer) {
        // A gathered request that fails for want of other shards has run at this one.
        self.may_have_run = true;
        let sub_request = &mut self.sub_requests[index];
        sub_request.state = SubRequestState::Done;
        sub_request.hedge_at = None;
        sub_request.outcome = SubRequestOutcome::Done;
        sub_request.signature = Some(answer.signature.clone());
        match self.plan.max_records {
            Some(_) => self.records.add_answer(&answer.body),
            None => self.single_answer = Some(answer),
        }
    }

    /// Returns whether the request may end here because this instance reaches no upstream any more: nothing was sent, or
    /// another instance may still send each sub-request as often as the route allows. Attempts that have not sent the
    /// request never send it then.
    fn try_leave(&self) -> bool {
        if !self.may_leave() {
            return false;
        }
        self.guard.withdraw_unsent();
        // One of them may have sent the request just before.
        self.may_leave()
    }

    fn may_leave(&self) -> bool {
        let is_unsent = !self.may_have_run && !self.guard.has_sent();
        let is_idempotent = self.plan.repeat_policy == RepeatPolicy::Idempotent;
        let has_attempts = self.max_sent_count() < self.plan.max_attempts;
        is_unsent || self.plan.may_move && is_idempotent && has_attempts
    }

    /// Returns the maximum number of attempts of a sub-request that may have reached an upstream by now. A hedge that waits
    /// for a connection has not.
    fn max_sent_count(&self) -> u32 {
        let sub_requests = self.sub_requests.iter().enumerate();
        let sent_counts = sub_requests.map(|(index, sub_request)| {
            let unsent_count = self.guard.unsent_count(index) as u32;
            sub_request.send_count.saturating_sub(unsent_count)
        });
        sent_counts.max().unwrap_or_default()
    }

    /// Ends the request because this instance reaches no upstream any more.
    fn finish_cut_off(self) -> FanoutOutcome {
        let states = self
            .sub_requests
            .iter()
            .map(|sub_request| sub_request.state);
        let done_count = states
            .filter(|state| *state == SubRequestState::Done)
            .count();
        let is_answered = done_count >= self.plan.cutoff.min_sub_requests;
        FanoutOutcome {
            is_unreached: true,
            ..self.finish(is_answered)
        }
    }

    fn finish(mut self, is_answered: bool) -> FanoutOutcome {
        self.guard.withdraw_unsent();
        let max_sent_count = self.max_sent_count();
        let may_have_run = self.guard.close() || self.may_have_run;
        let now = self.gateway.clock.now();
        let refusal_wait = match is_answered || may_have_run {
            true => None,
            false => self.refusal_wait(now),
        };
        let used_attempts = match may_have_run {
            true => max_sent_count,
            false => 0,
        };
        FanoutOutcome {
            is_answered,
            may_have_run,
            refusal_wait,
            is_late: self.time_waited() >= self.plan.cutoff.final_cutoff,
            single_answer: self.single_answer,
            records: self.records,
            extra_send_count: self.extra_send_count,
            is_unreached: false,
            used_attempts,
            sub_requests: self.sub_requests,
        }
    }
}

/// Returns the number of sub-requests for which an upstream was chosen.
fn count_sendable(choices: &[Option<UpstreamChoice>]) -> usize {
    choices.iter().flatten().count()
}
