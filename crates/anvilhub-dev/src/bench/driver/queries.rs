//! Queries at their entries and their sub-requests at the handlers.

use super::*;

impl Driver {
    pub(super) fn arrive(&mut self, query: usize) {
        let mut entry = self.queries[query].arrival.entry;
        // The balancer sends callers of a lost entry to the next one.
        while self.is_lost(self.entries[entry].domain) {
            entry = (entry + 1) % ENTRY_COUNT;
        }
        self.queries[query].arrival.entry = entry;
        if self.variant.baseline {
            return self.start_query(query);
        }
        let Query {
            arrival, deadline, ..
        } = self.queries[query];
        let gate = &mut self.entries[entry].gate;
        let verdict = gate.try_admit(self.now, arrival.urgency, deadline, query);
        match verdict.verdict {
            AdmissionVerdict::Start(query) => self.start_query(query),
            AdmissionVerdict::Refused(refusal) => self.refuse(refusal.item),
            AdmissionVerdict::Queued => {}
        }
        if let Some(refusal) = verdict.shed {
            self.refuse(refusal.item);
        }
    }

    pub(super) fn refuse(&mut self, query: usize) {
        self.queries[query].ended = true;
        let arrival = self.queries[query].arrival;
        self.tally.count_refusal(&arrival, PATIENCE);
    }

    pub(super) fn start_query(&mut self, query: usize) {
        let entry = self.queries[query].arrival.entry;
        self.queries[query].admitted = Some(self.now);
        self.queries[query].subs = vec![Sub::default(); self.desk.shards];
        if !self.variant.baseline {
            let deadline = self.queries[query].deadline;
            self.events.push(deadline, Event::Deadline(query));
        }
        let mut called = [false; ENTRY_COUNT];
        for shard in 0..self.desk.shards {
            let owner = self.handler_of(shard, entry);
            if owner == entry {
                self.ping_bypassed(shard, entry);
                self.handle(query, shard, entry);
                continue;
            }
            // A message and its reply, shared by the sub-requests of a batch.
            if !called[owner] || !self.variant.batched {
                self.tally.count_messages(self.now, 2);
            }
            called[owner] = true;
            self.entries[entry].owners[owner].record_send(self.now);
            self.entries[entry].budget.earn_as_sender(self.now);
            self.queries[query].subs[shard].forwarded = true;
            let reached = self.now + self.hop(entry, self.entries[owner].domain);
            self.events
                .push(reached, Event::Handle(query, shard, owner));
            let check = self.now + BYPASS_CHECK;
            self.events.push(check, Event::Bypass(query, shard, owner));
        }
    }

    pub(super) fn owner_of(&self, shard: usize) -> usize {
        let known = (self.now - LIST_LAG).0 as f64 / 1e6;
        let owner = self.first_owners.owner(shard);
        match self.scenario.is_lost(self.entries[owner].domain, known) {
            true => self.later_owners.owner(shard),
            false => owner,
        }
    }

    pub(super) fn handler_of(&self, shard: usize, entry: usize) -> usize {
        if self.variant.coordination != Coordination::Owner {
            return entry;
        }
        let owner = self.owner_of(shard);
        match self.entries[entry].owners[owner].is_bypassed(self.now) {
            true => entry,
            false => owner,
        }
    }

    pub(super) fn handle(&mut self, query: usize, shard: usize, handler: usize) {
        if self.is_lost(self.entries[handler].domain) {
            return;
        }
        if self.variant.baseline {
            return self.attempt(query, shard, handler, None);
        }
        let Query {
            arrival, deadline, ..
        } = self.queries[query];
        let deadline = deadline - self.hop(handler, self.entries[arrival.entry].domain);
        let queue = &mut self.entries[handler].queues[shard];
        match queue.offer(self.now, arrival.urgency, deadline, query) {
            SlotOffer::Start(query) => self.attempt(query, shard, handler, None),
            SlotOffer::Queued => {}
            SlotOffer::QueuedInstead(query)
            | SlotOffer::Full(query)
            | SlotOffer::Expired(query) => self.give_back(query, shard, handler, false),
        }
    }

    pub(super) fn bypass(&mut self, query: usize, shard: usize, owner: usize) {
        let entry = self.queries[query].arrival.entry;
        if self.is_lost(self.entries[entry].domain) {
            return;
        }
        let resolved = self.queries[query].ended || self.queries[query].subs[shard].resolved;
        if resolved {
            return;
        }
        self.ping(entry, owner);
        let silent = self.entries[entry].owners[owner].is_bypassed(self.now);
        if !silent || !self.entries[entry].budget.try_spend(self.now) {
            let check = self.now + BYPASS_CHECK;
            return self.events.push(check, Event::Bypass(query, shard, owner));
        }
        self.entries[entry].owners[owner].record_failure();
        self.handle(query, shard, entry);
    }

    /// Pings the owner of a shard that is sent directly because the owner is bypassed.
    fn ping_bypassed(&mut self, shard: usize, entry: usize) {
        if self.variant.coordination != Coordination::Owner {
            return;
        }
        let owner = self.owner_of(shard);
        if owner != entry {
            self.ping(entry, owner);
        }
    }

    fn ping(&mut self, entry: usize, owner: usize) {
        if !self.entries[entry].owners[owner].begin_ping(self.now) {
            return;
        }
        self.tally.count_messages(self.now, 2);
        let reached = self.now + self.hop(entry, self.entries[owner].domain);
        self.events.push(reached, Event::Ping(entry, owner));
    }

    pub(super) fn answer_ping(&mut self, entry: usize, owner: usize) {
        if self.is_lost(self.entries[owner].domain) {
            return;
        }
        let returned = self.now + self.hop(owner, self.entries[entry].domain);
        self.events.push(returned, Event::Pong(entry, owner));
    }

    pub(super) fn release(&mut self, handler: usize, shard: usize) {
        if self.variant.baseline {
            return;
        }
        let release = self.entries[handler].queues[shard].release_slot(self.now);
        self.apply(handler, shard, release);
    }

    pub(super) fn apply(&mut self, handler: usize, shard: usize, release: SlotRelease<usize>) {
        for query in release.expired {
            self.give_back(query, shard, handler, false);
        }
        for query in release.to_start {
            match self.queries[query].ended || self.queries[query].subs[shard].resolved {
                true => self.release(handler, shard),
                false => self.attempt(query, shard, handler, None),
            }
        }
    }

    pub(super) fn give_up_unless_waiting(&mut self, query: usize, shard: usize, handler: usize) {
        let attempts = &self.queries[query].subs[shard].attempts;
        let waiting = attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight);
        if !waiting {
            self.give_back(query, shard, handler, false);
        }
    }

    pub(super) fn give_back(&mut self, query: usize, shard: usize, handler: usize, ok: bool) {
        let entry = self.queries[query].arrival.entry;
        if handler == entry {
            return self.resolve(query, shard, handler, ok);
        }
        let returned = self.now + self.hop(handler, self.entries[entry].domain);
        self.events
            .push(returned, Event::Returned(query, shard, handler, ok));
    }

    pub(super) fn resolve(&mut self, query: usize, shard: usize, from: usize, ok: bool) {
        let entry = self.queries[query].arrival.entry;
        if self.is_lost(self.entries[entry].domain) {
            return;
        }
        if from != entry {
            self.entries[entry].owners[from].record_message(self.now, true);
        }
        let state = &mut self.queries[query];
        if state.ended || state.subs[shard].resolved {
            return;
        }
        state.subs[shard].resolved = true;
        state.open -= 1;
        state.answered += usize::from(ok);
        if state.open == 0 {
            self.end_query(query);
        }
    }

    pub(super) fn end_query(&mut self, query: usize) {
        let state = &mut self.queries[query];
        let entry = state.arrival.entry;
        if state.ended
            || self
                .scenario
                .is_lost(self.entries[entry].domain, self.now.0 as f64 / 1e6)
        {
            return;
        }
        state.ended = true;
        let latency = (self.now + self.caller_latency).since(state.arrival.time);
        let coverage = state.answered as f64 / self.desk.shards as f64;
        let admitted = state.admitted.unwrap_or(self.now);
        let arrival = state.arrival;
        self.tally
            .count_query(&arrival, latency, coverage, PATIENCE);
        if self.variant.baseline {
            return;
        }
        let service = self.now.since(admitted);
        let release =
            self.entries[entry]
                .gate
                .finish_with_urgency(self.now, arrival.urgency, service);
        self.admit(release);
    }

    pub(super) fn admit(&mut self, release: AdmissionRelease<usize>) {
        for refusal in release.refused {
            self.refuse(refusal.item);
        }
        for query in release.to_start {
            self.start_query(query);
        }
    }
}
