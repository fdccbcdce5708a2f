//! Attempts between handlers and upstreams.

use super::*;

impl Driver {
    /// Sends an attempt for which a slot is occupied; frees the slot when no replica can be used.
    pub(super) fn attempt(
        &mut self,
        query: usize,
        shard: usize,
        handler: usize,
        kind: Option<AttemptKind>,
    ) {
        let tried: Vec<usize> = self.queries[query].subs[shard]
            .attempts
            .iter()
            .map(|attempt| attempt.upstream)
            .collect();
        let entry = &mut self.entries[handler];
        match entry.choose(self.now, shard, kind, &tried, &self.domains) {
            Ok(upstream) => self.send(query, shard, handler, upstream, kind),
            Err(_) => {
                self.release(handler, shard);
                self.give_up_unless_waiting(query, shard, handler);
            }
        }
    }

    pub(super) fn send(
        &mut self,
        query: usize,
        shard: usize,
        handler: usize,
        upstream: usize,
        kind: Option<AttemptKind>,
    ) {
        let hop = self.hop(handler, self.domains[upstream]);
        let entry = &mut self.entries[handler];
        let (connection, opening) =
            entry.connect(self.now, upstream, self.desk.repeat, self.desk.opening);
        entry.views[upstream].record_send();
        let attempts = &mut self.queries[query].subs[shard].attempts;
        let first = attempts.is_empty();
        let id = (query, shard, attempts.len());
        attempts.push(Attempt {
            handler,
            upstream,
            connection,
            sent: self.now,
            state: AttemptState::InFlight,
        });
        let query_entry = self.queries[query].arrival.entry;
        match self.queries[query].subs[shard].forwarded {
            _ if !first => {}
            true if handler == query_entry => {}
            true => entry.budget.earn_as_owner(self.now),
            false => entry.budget.earn(self.now),
        }
        self.tally.count_attempt(self.now, first);
        self.events.push(self.now + opening + hop, Event::Reach(id));
        let deadline = self.queries[query].deadline;
        let timeout = match (self.variant.baseline, self.desk.repeat) {
            (false, RepeatPolicy::NonIdempotent) => deadline,
            _ => self.now + ATTEMPT_TIMEOUT,
        };
        self.events.push(timeout, Event::Timeout(id));
        if self.variant.baseline || kind.is_some() {
            return;
        }
        if let Some(delay) = self.entries[handler].hedge_delay(shard) {
            self.events
                .push(self.now + opening + delay, Event::Hedge(id));
        }
    }

    pub(super) fn take_answer(&mut self, id: AttemptId, ran: bool, load: u32) {
        let attempt = *self.attempt_mut(id);
        let handler = attempt.handler;
        if attempt.state != AttemptState::InFlight || self.is_lost(self.entries[handler].domain) {
            return;
        }
        let (query, shard, number) = id;
        let latency = self.now.since(attempt.sent);
        let report = LoadReport {
            in_flight: load,
            ..LoadReport::default()
        };
        let entry = &mut self.entries[handler];
        entry.ledgers[attempt.upstream].record_answer(self.now, attempt.connection);
        if !ran {
            entry.views[attempt.upstream].record_refusal(self.now, report);
            self.attempt_mut(id).state = AttemptState::Refused;
            return self.retry(query, shard, handler);
        }
        entry.views[attempt.upstream].record_answer(self.now, latency, report);
        if number == 0 {
            entry.record(self.now, shard, latency);
        }
        self.attempt_mut(id).state = AttemptState::Answered;
        self.cancel_others(query, shard);
        self.release(handler, shard);
        self.give_back(query, shard, handler, true);
    }

    pub(super) fn cancel_others(&mut self, query: usize, shard: usize) {
        for number in 0..self.queries[query].subs[shard].attempts.len() {
            let id = (query, shard, number);
            let attempt = *self.attempt_mut(id);
            if attempt.state != AttemptState::InFlight || self.variant.baseline {
                continue;
            }
            self.attempt_mut(id).state = AttemptState::TimedOut;
            let waited = self.now.since(attempt.sent);
            let entry = &mut self.entries[attempt.handler];
            entry.views[attempt.upstream].record_cancellation(waited);
            entry.ledgers[attempt.upstream].remove(attempt.connection);
            if number == 0 {
                entry.record(self.now, shard, waited);
            }
            self.send_cancel(id, attempt);
            self.release(attempt.handler, shard);
        }
    }

    pub(super) fn send_cancel(&mut self, id: AttemptId, attempt: Attempt) {
        let hop = self.hop(attempt.handler, self.domains[attempt.upstream]);
        self.events.push(self.now + hop, Event::Cancel(id));
    }

    pub(super) fn time_out(&mut self, id: AttemptId) {
        let attempt = *self.attempt_mut(id);
        let lost = self.is_lost(self.entries[attempt.handler].domain);
        if lost || attempt.state != AttemptState::InFlight {
            return;
        }
        self.attempt_mut(id).state = AttemptState::TimedOut;
        let waited = self.now.since(attempt.sent);
        let entry = &mut self.entries[attempt.handler];
        entry.views[attempt.upstream].record_failure(waited);
        entry.ledgers[attempt.upstream].remove(attempt.connection);
        if !self.variant.baseline {
            self.send_cancel(id, attempt);
        }
        self.retry(id.0, id.1, attempt.handler);
    }

    /// Uses the slot of an attempt that ended without an answer for a retry, or frees it.
    pub(super) fn retry(&mut self, query: usize, shard: usize, handler: usize) {
        if self.variant.baseline {
            return match self.queries[query].subs[shard].attempts.len() {
                1 => self.attempt(query, shard, handler, Some(AttemptKind::Retry)),
                _ => self.give_up_unless_waiting(query, shard, handler),
            };
        }
        let allowed = self.may_attempt(query, shard, AttemptKind::Retry);
        if allowed && self.entries[handler].budget.try_spend(self.now) {
            return self.attempt(query, shard, handler, Some(AttemptKind::Retry));
        }
        self.release(handler, shard);
        self.give_up_unless_waiting(query, shard, handler);
    }

    pub(super) fn may_attempt(&self, query: usize, shard: usize, kind: AttemptKind) -> bool {
        let Query {
            deadline,
            ended,
            subs,
            ..
        } = &self.queries[query];
        let states: Vec<AttemptState> = subs[shard]
            .attempts
            .iter()
            .map(|attempt| attempt.state)
            .collect();
        let rule = AttemptRule::new(self.desk.repeat, true, *deadline);
        !ended && rule.decide(self.now, kind, &states) == AttemptVerdict::Allowed
    }

    pub(super) fn hedge(&mut self, id: AttemptId) {
        let (query, shard, _) = id;
        let attempt = *self.attempt_mut(id);
        let handler = attempt.handler;
        let lost = self.is_lost(self.entries[handler].domain);
        let in_flight = attempt.state == AttemptState::InFlight;
        if lost || !in_flight || !self.may_attempt(query, shard, AttemptKind::Hedge) {
            return;
        }
        let kind = Some(AttemptKind::Hedge);
        let entry = &mut self.entries[handler];
        let choice = entry.choose(self.now, shard, kind, &[attempt.upstream], &self.domains);
        let Ok(upstream) = choice else {
            return;
        };
        if !entry.budget.can_spend(self.now) || !entry.queues[shard].try_occupy() {
            return;
        }
        if entry.budget.try_spend(self.now) {
            self.send(query, shard, handler, upstream, kind);
        }
    }

    pub(super) fn reach(&mut self, id: AttemptId) {
        let attempt = *self.attempt_mut(id);
        if self.is_lost(self.domains[attempt.upstream]) {
            return;
        }
        let deadline = match self.variant.baseline {
            true => attempt.sent + ATTEMPT_TIMEOUT,
            false => self.queries[id.0].deadline,
        };
        match self.upstreams[attempt.upstream].receive(id, deadline) {
            Admitted::Runs => self.run_at_upstream(id, attempt.upstream),
            Admitted::Waits => {}
            Admitted::Refused => self.answer(id, false),
        }
    }

    pub(super) fn run_at_upstream(&mut self, id: AttemptId, upstream: usize) {
        let service = self.workload.service_time(id, upstream, self.now);
        let sub = &mut self.queries[id.0].subs[id.1];
        sub.ran += 1;
        if sub.ran == 2 && self.desk.repeat == RepeatPolicy::NonIdempotent {
            self.tally.ran_twice += 1;
        }
        self.events.push(self.now + service, Event::Finish(id));
    }

    pub(super) fn finish_at_upstream(&mut self, id: AttemptId) {
        let upstream = self.attempt_mut(id).upstream;
        let lost = self.is_lost(self.domains[upstream]);
        if lost || !self.upstreams[upstream].finish(id) {
            return;
        }
        self.answer(id, true);
        self.start_next(upstream);
    }

    pub(super) fn cancel_at_upstream(&mut self, id: AttemptId) {
        let upstream = self.attempt_mut(id).upstream;
        self.upstreams[upstream].cancel(id);
        self.start_next(upstream);
    }

    pub(super) fn start_next(&mut self, upstream: usize) {
        let (started, expired) = self.upstreams[upstream].start_next(self.now);
        for id in expired {
            self.answer(id, false);
        }
        if let Some(id) = started {
            self.run_at_upstream(id, upstream);
        }
    }

    /// Sends an answer, or a `not_run` refusal, from the upstream.
    pub(super) fn answer(&mut self, id: AttemptId, ran: bool) {
        let attempt = *self.attempt_mut(id);
        let load = self.stated_load(attempt.upstream);
        let hop = self.hop(attempt.handler, self.domains[attempt.upstream]);
        self.events
            .push(self.now + hop, Event::Answer(id, ran, load));
    }

    pub(super) fn stated_load(&self, upstream: usize) -> u32 {
        match (self.scenario, upstream % 2) {
            (Scenario::Misleading, 0) => 0,
            (Scenario::Misleading, _) => 20,
            _ => self.upstreams[upstream].held(),
        }
    }
}
