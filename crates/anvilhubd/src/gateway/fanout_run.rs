use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::{
    CutoffVerdict, HedgeRule, RankedReplica, ReplicaRanker, SkipRule, SubRequestState, TopRecords,
};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use super::{
    AttemptResult, AttemptRun, FanoutOutcome, FanoutPlan, ForwardRequest, Gateway, RouteState,
    RunGuard, SendCause, SubRequest, SubRequestOutcome, TrackedUpstream, UpstreamAnswer,
};

/// Multiple of the time to the cut after which an expected part is left out: the expectation is rough.
const SKIP_FACTOR: u32 = 2;

/// Index of a part, and how an attempt at it ended.
type PartEnd = (usize, AttemptResult);

/// The upstream for an attempt, and what decided for it.
type UpstreamChoice = (Arc<TrackedUpstream>, RankedReplica);

/// Sends a request to one upstream of each part, again where needed, and joins what comes back.
pub(super) struct FanoutRun {
    gateway: Arc<Gateway>,
    request: Arc<ForwardRequest>,
    route: Arc<RouteState>,
    plan: FanoutPlan,
    parts: Vec<SubRequest>,
    records: TopRecords,
    single: Option<UpstreamAnswer>,
    extra: u32,
    may_have_run: bool,
    guard: RunGuard,
    sender: UnboundedSender<PartEnd>,
    ends: UnboundedReceiver<PartEnd>,
}

impl FanoutRun {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        request: Arc<ForwardRequest>,
        route: Arc<RouteState>,
        plan: FanoutPlan,
    ) -> Self {
        let groups = gateway.groups.load();
        let parts = plan
            .services
            .iter()
            .map(|service| SubRequest::new(service.clone(), groups.get(service).cloned()))
            .collect();
        let grace = match plan.repeat {
            RepeatPolicy::Idempotent => Some(gateway.settings.loser_time),
            RepeatPolicy::NonIdempotent => None,
        };
        let (sender, ends) = unbounded_channel();
        Self {
            gateway,
            request,
            route,
            parts,
            records: TopRecords::new(plan.top.unwrap_or(0)),
            plan,
            single: None,
            extra: 0,
            may_have_run: false,
            guard: RunGuard::new(grace),
            sender,
            ends,
        }
    }

    pub(super) async fn run(mut self) -> FanoutOutcome {
        let now = self.gateway.clock.now();
        let choices: Vec<Option<UpstreamChoice>> = (0..self.parts.len())
            .map(|index| self.choose(index, now))
            .collect();
        let skipped = self.skipped(&choices);
        for (index, choice) in choices.into_iter().enumerate() {
            match (skipped.contains(&index), choice) {
                (true, _) => self.parts[index].outcome = SubRequestOutcome::Skipped,
                (false, Some(choice)) => {
                    self.send_to(index, SendCause::First, choice);
                }
                (false, None) => {}
            }
        }
        loop {
            let waited = self.waited();
            let states: Vec<SubRequestState> = self.parts.iter().map(|part| part.state).collect();
            match self.plan.cut.verdict(&states, waited) {
                CutoffVerdict::Wait => {}
                CutoffVerdict::Answer => return self.finish(true),
                CutoffVerdict::Fail => return self.finish(false),
            }
            let pause = self.next_event(waited).saturating_sub(waited);
            tokio::select! {
                end = self.ends.recv() => {
                    if let Some((index, end)) = end {
                        self.ended(index, end);
                    }
                    while let Ok((index, end)) = self.ends.try_recv() {
                        self.ended(index, end);
                    }
                }
                () = sleep(pause) => {
                    let lag = self.waited().saturating_sub(waited + pause);
                    self.gateway.lag.with(|known| known.record(lag));
                    self.hedge_due();
                }
            }
        }
    }

    /// Parts that would come too late and that the answer can spare.
    fn skipped(&self, choices: &[Option<UpstreamChoice>]) -> Vec<usize> {
        let cut = &self.plan.cut;
        let rule = SkipRule {
            time_left: cut.target_left * SKIP_FACTOR,
            max_skips: self.parts.len().saturating_sub(cut.min_shards),
        };
        if rule.max_skips == 0 || rule.time_left.is_zero() {
            return Vec::new();
        }
        let expected = |choice: &Option<UpstreamChoice>| match choice {
            Some((_, ranked)) => self.plan.usual.mul_f64(ranked.cost),
            None => Duration::ZERO,
        };
        let expected: Vec<Duration> = choices.iter().map(expected).collect();
        rule.choose(&expected)
    }

    fn waited(&self) -> Duration {
        self.gateway.clock.now().since(self.plan.arrived)
    }

    /// Time after arrival at which a hedge or a cut is due.
    fn next_event(&self, waited: Duration) -> Duration {
        let hedges = self.parts.iter().filter_map(|part| part.hedge_at);
        let hedge = hedges.min().map(|at| at.since(self.plan.arrived));
        let cut = self.plan.cut.next_cutoff(waited);
        hedge.map_or(cut, |hedge| hedge.min(cut))
    }

    fn hedge_due(&mut self) {
        let now = self.gateway.clock.now();
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.hedge_at.is_none_or(|at| now < at) {
                continue;
            }
            part.hedge_at = None;
            self.send(index, SendCause::Hedge);
        }
    }

    /// Sends a part to a further upstream; says whether it could.
    fn send(&mut self, index: usize, cause: SendCause) -> bool {
        let now = self.gateway.clock.now();
        let choice = self.choose(index, now).or_else(|| {
            // The upstreams of the service may have been replaced since the request arrived.
            let part = &mut self.parts[index];
            part.group = self.gateway.groups.load().get(&part.service).cloned();
            self.choose(index, now)
        });
        choice.is_some_and(|choice| self.send_to(index, cause, choice))
    }

    fn send_to(&mut self, index: usize, cause: SendCause, choice: UpstreamChoice) -> bool {
        let now = self.gateway.clock.now();
        let (node, ranked) = choice;
        if cause == SendCause::Hedge && !HedgeRule::default().allows(&ranked) {
            return false;
        }
        let part = &mut self.parts[index];
        let Some(group) = &part.group else {
            return false;
        };
        if part.sends >= self.plan.max_attempts {
            return false;
        }
        let is_extra = part.sends > 0;
        let pays = match (cause, is_extra) {
            (SendCause::First, _) => {
                group.budget.with(|budget| budget.earn(now));
                true
            }
            (_, false) => true,
            (_, true) => group.budget.with(|budget| budget.try_spend(now)),
        };
        if !pays {
            self.gateway.note_spent_budget(&part.service);
            return false;
        }
        if is_extra {
            self.extra += 1;
        }
        let is_doubtful = node.stats.with(|stats| stats.is_suspect());
        part.state = match is_doubtful && cause == SendCause::First {
            true => SubRequestState::Suspect,
            false => SubRequestState::Waiting,
        };
        part.outcome = SubRequestOutcome::Waiting;
        part.sends += 1;
        part.in_flight += 1;
        part.hedge_at = match self.plan.repeat {
            RepeatPolicy::Idempotent => Some(now + self.plan.hedge_delay),
            RepeatPolicy::NonIdempotent => None,
        };
        part.tried.push(Arc::clone(&node));
        self.start(index, node);
        true
    }

    fn choose(&self, index: usize, now: ClockTime) -> Option<UpstreamChoice> {
        let part = &self.parts[index];
        let group = part.group.as_ref()?;
        let settings = &self.gateway.settings;
        let candidates: Vec<_> = group
            .nodes
            .iter()
            .map(|node| node.ranked(now, self.plan.usual, settings, part.was_tried(node)))
            .collect();
        let chosen = ReplicaRanker::default().choose(
            &candidates,
            !part.tried.is_empty(),
            rand::random::<f64>,
        )?;
        Some((Arc::clone(&group.nodes[chosen]), candidates[chosen]))
    }

    fn start(&mut self, index: usize, node: Arc<TrackedUpstream>) {
        let attempt = AttemptRun {
            gateway: Arc::clone(&self.gateway),
            node,
            request: Arc::clone(&self.request),
            route: Arc::clone(&self.route),
            repeat: self.plan.repeat,
            usual: self.plan.usual,
            deadline: self.plan.arrived + self.plan.cut.time_left,
        };
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let end = attempt.run().await;
            // The request may have ended without this attempt.
            let _ = sender.send((index, end));
        });
        self.guard.add(&task);
    }

    fn ended(&mut self, index: usize, end: AttemptResult) {
        let is_idempotent = self.plan.repeat == RepeatPolicy::Idempotent;
        let part = &mut self.parts[index];
        part.in_flight -= 1;
        if part.state == SubRequestState::Done {
            return;
        }
        let (may_retry, cause) = match end {
            AttemptResult::Answered(answer) => return self.answered(index, answer),
            AttemptResult::FailedThere(answer) => {
                self.may_have_run = true;
                part.outcome =
                    SubRequestOutcome::Ended(format!("status_{}", answer.status.as_u16()));
                if self.plan.top.is_none() {
                    self.single = Some(answer);
                }
                (is_idempotent, SendCause::Retry)
            }
            AttemptResult::NotRun { status } => {
                part.outcome = SubRequestOutcome::Ended(format!("not_run_{}", status.as_u16()));
                (true, SendCause::Retry)
            }
            AttemptResult::NotSent { reason } => {
                part.sends -= 1;
                part.outcome = SubRequestOutcome::Ended(reason);
                (true, SendCause::Resend)
            }
            AttemptResult::Unknown { reason, .. } => {
                self.may_have_run = true;
                part.outcome = SubRequestOutcome::Ended(reason);
                (is_idempotent, SendCause::Retry)
            }
        };
        if may_retry && self.send(index, cause) {
            return;
        }
        let part = &mut self.parts[index];
        if part.in_flight == 0 {
            part.state = SubRequestState::Failed;
            part.hedge_at = None;
        }
    }

    fn answered(&mut self, index: usize, answer: UpstreamAnswer) {
        let part = &mut self.parts[index];
        part.state = SubRequestState::Done;
        part.hedge_at = None;
        part.outcome = SubRequestOutcome::Done;
        part.signature = Some(answer.signature.clone());
        match self.plan.top {
            Some(_) => self.records.add(&answer.body),
            None => self.single = Some(answer),
        }
    }

    fn finish(self, is_answered: bool) -> FanoutOutcome {
        let in_flight = self.parts.iter().any(|part| part.in_flight > 0);
        FanoutOutcome {
            is_answered,
            may_have_run: self.may_have_run || in_flight,
            is_late: self.waited() >= self.plan.cut.time_left,
            single: self.single,
            records: self.records,
            extra: self.extra,
            parts: self.parts,
        }
    }
}
