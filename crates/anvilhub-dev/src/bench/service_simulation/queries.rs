//! Queries at the instances that receive them, and sub-requests at the instances that handle them.

use super::*;

impl ServiceSimulation {
    /// Admits, queues or refuses a query at its instance.
    pub(super) fn receive_query(&mut self, query: usize) {
        let mut instance = self.queries[query].arrival.instance;
        // The load balancer sends callers of a failed instance to the next one.
        while self.is_lost_instance(instance) {
            instance = (instance + 1) % INSTANCE_COUNT;
        }
        self.queries[query].arrival.instance = instance;
        if self.variant.is_baseline {
            return self.start_query(query);
        }
        let Query {
            arrival, deadline, ..
        } = self.queries[query];
        let gate = &mut self.instances[instance].gate;
        let admission = gate.try_admit(self.now, arrival.urgency, deadline, query);
        match admission.verdict {
            AdmissionVerdict::Start(query) => self.start_query(query),
            AdmissionVerdict::Refused(refusal) => self.refuse_query(refusal.item),
            AdmissionVerdict::Queued => {}
        }
        if let Some(refusal) = admission.shed {
            self.refuse_query(refusal.item);
        }
    }

    pub(super) fn refuse_query(&mut self, query: usize) {
        self.queries[query].is_ended = true;
        let arrival = self.queries[query].arrival;
        self.stats.record_refusal(&arrival, CALLER_TIMEOUT);
    }

    /// Sends the sub-requests of an admitted query to their handlers.
    pub(super) fn start_query(&mut self, query: usize) {
        let instance = self.queries[query].arrival.instance;
        self.queries[query].admitted_at = Some(self.now);
        self.queries[query].sub_requests = vec![SubRequest::default(); self.service.shard_count];
        if !self.variant.is_baseline {
            let deadline = self.queries[query].deadline;
            self.events.push(deadline, Event::DeadlineReached { query });
        }
        let mut is_contacted = [false; INSTANCE_COUNT];
        for shard in 0..self.service.shard_count {
            let owner = self.handler_index(shard, instance);
            if owner == instance {
                self.ping_bypassed_owner(shard, instance);
                self.handle_sub_request(query, shard, instance);
                continue;
            }
            // One message and its reply; the sub-requests of a batch share them.
            if !is_contacted[owner] || !self.variant.is_batched {
                self.stats.record_messages(self.now, 2);
            }
            is_contacted[owner] = true;
            self.instances[instance].owner_health[owner].record_send(self.now);
            self.instances[instance]
                .retry_budget
                .earn_as_sender(self.now);
            self.queries[query].sub_requests[shard].is_forwarded = true;
            let arrives_at =
                self.now + self.network_latency(instance, self.instances[owner].domain);
            self.events.push(
                arrives_at,
                Event::SubRequestArrived {
                    query,
                    shard,
                    handler: owner,
                },
            );
            let check_at = self.now + BYPASS_CHECK_INTERVAL;
            self.events.push(
                check_at,
                Event::BypassCheckDue {
                    query,
                    shard,
                    owner,
                },
            );
        }
    }

    /// Returns the owner of a shard according to the current instance list.
    pub(super) fn owner_index(&self, shard: usize) -> usize {
        let listed_seconds = (self.now - LIST_DELAY).0 as f64 / 1e6;
        let owner = self.initial_owners.owner(shard);
        match self
            .scenario
            .is_domain_lost(self.instances[owner].domain, listed_seconds)
        {
            true => self.final_owners.owner(shard),
            false => owner,
        }
    }

    /// Returns the instance that handles the sub-requests to `shard` of a query at `instance`.
    pub(super) fn handler_index(&self, shard: usize, instance: usize) -> usize {
        if self.variant.coordination != Coordination::Owner {
            return instance;
        }
        let owner = self.owner_index(shard);
        match self.instances[instance].owner_health[owner].is_bypassed(self.now) {
            true => instance,
            false => owner,
        }
    }

    /// Queues a sub-request at its handler or starts it.
    pub(super) fn handle_sub_request(&mut self, query: usize, shard: usize, handler: usize) {
        if self.is_lost_instance(handler) {
            return;
        }
        if self.variant.is_baseline {
            return self.start_attempt(query, shard, handler, None);
        }
        let Query {
            arrival, deadline, ..
        } = self.queries[query];
        let deadline =
            deadline - self.network_latency(handler, self.instances[arrival.instance].domain);
        let queue = &mut self.instances[handler].queues[shard];
        match queue.offer(self.now, arrival.urgency, deadline, query) {
            SlotDecision::Start(query) => self.start_attempt(query, shard, handler, None),
            SlotDecision::Queued => {}
            SlotDecision::Displaced(query)
            | SlotDecision::Full(query)
            | SlotDecision::Expired(query) => self.return_result(query, shard, handler, false),
        }
    }

    /// Handles a waiting sub-request locally when its owner no longer responds; otherwise checks again later.
    pub(super) fn check_bypass(&mut self, query: usize, shard: usize, owner: usize) {
        let instance = self.queries[query].arrival.instance;
        if self.is_lost_instance(instance) {
            return;
        }
        let is_resolved =
            self.queries[query].is_ended || self.queries[query].sub_requests[shard].is_resolved;
        if is_resolved {
            return;
        }
        self.send_ping(instance, owner);
        let is_bypassed = self.instances[instance].owner_health[owner].is_bypassed(self.now);
        if !is_bypassed || !self.instances[instance].retry_budget.try_spend(self.now) {
            let check_at = self.now + BYPASS_CHECK_INTERVAL;
            return self.events.push(
                check_at,
                Event::BypassCheckDue {
                    query,
                    shard,
                    owner,
                },
            );
        }
        self.instances[instance].owner_health[owner].record_failure();
        self.handle_sub_request(query, shard, instance);
    }

    /// Pings the owner of a shard while its sub-requests bypass it, to notice when it responds again.
    fn ping_bypassed_owner(&mut self, shard: usize, instance: usize) {
        if self.variant.coordination != Coordination::Owner {
            return;
        }
        let owner = self.owner_index(shard);
        if owner != instance {
            self.send_ping(instance, owner);
        }
    }

    fn send_ping(&mut self, instance: usize, owner: usize) {
        if !self.instances[instance].owner_health[owner].begin_ping(self.now) {
            return;
        }
        self.stats.record_messages(self.now, 2);
        let arrives_at = self.now + self.network_latency(instance, self.instances[owner].domain);
        self.events
            .push(arrives_at, Event::PingArrived { instance, owner });
    }

    pub(super) fn answer_ping(&mut self, instance: usize, owner: usize) {
        if self.is_lost_instance(owner) {
            return;
        }
        let arrives_at = self.now + self.network_latency(owner, self.instances[instance].domain);
        self.events
            .push(arrives_at, Event::PongArrived { instance, owner });
    }

    pub(super) fn release_slot(&mut self, handler: usize, shard: usize) {
        if self.variant.is_baseline {
            return;
        }
        let release = self.instances[handler].queues[shard].release_slot(self.now);
        self.apply_slot_release(handler, shard, release);
    }

    pub(super) fn apply_slot_release(
        &mut self,
        handler: usize,
        shard: usize,
        release: SlotRelease<usize>,
    ) {
        for query in release.expired {
            self.return_result(query, shard, handler, false);
        }
        for query in release.to_start {
            match self.queries[query].is_ended
                || self.queries[query].sub_requests[shard].is_resolved
            {
                true => self.release_slot(handler, shard),
                false => self.start_attempt(query, shard, handler, None),
            }
        }
    }

    /// Fails a sub-request unless an attempt is still in flight.
    pub(super) fn fail_unless_in_flight(&mut self, query: usize, shard: usize, handler: usize) {
        let attempts = &self.queries[query].sub_requests[shard].attempts;
        let is_in_flight = attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight);
        if !is_in_flight {
            self.return_result(query, shard, handler, false);
        }
    }

    /// Returns the result of a sub-request to the instance of its query.
    pub(super) fn return_result(
        &mut self,
        query: usize,
        shard: usize,
        handler: usize,
        is_answered: bool,
    ) {
        let instance = self.queries[query].arrival.instance;
        if handler == instance {
            return self.resolve_sub_request(query, shard, handler, is_answered);
        }
        let arrives_at = self.now + self.network_latency(handler, self.instances[instance].domain);
        self.events.push(
            arrives_at,
            Event::ResultReturned {
                query,
                shard,
                handler,
                is_answered,
            },
        );
    }

    /// Records the first result of a sub-request and ends the query after the last one.
    pub(super) fn resolve_sub_request(
        &mut self,
        query: usize,
        shard: usize,
        handler: usize,
        is_answered: bool,
    ) {
        let instance = self.queries[query].arrival.instance;
        if self.is_lost_instance(instance) {
            return;
        }
        if handler != instance {
            self.instances[instance].owner_health[handler].record_message(self.now, true);
        }
        let record = &mut self.queries[query];
        if record.is_ended || record.sub_requests[shard].is_resolved {
            return;
        }
        record.sub_requests[shard].is_resolved = true;
        record.open_count -= 1;
        record.answered_count += usize::from(is_answered);
        if record.open_count == 0 {
            self.end_query(query);
        }
    }

    /// Records the answer of a query and releases its admission slot.
    pub(super) fn end_query(&mut self, query: usize) {
        let record = &mut self.queries[query];
        let instance = record.arrival.instance;
        if record.is_ended
            || self
                .scenario
                .is_domain_lost(self.instances[instance].domain, self.now.0 as f64 / 1e6)
        {
            return;
        }
        record.is_ended = true;
        let latency = (self.now + self.caller_latency).since(record.arrival.time);
        let coverage = record.answered_count as f64 / self.service.shard_count as f64;
        let admitted_at = record.admitted_at.unwrap_or(self.now);
        let arrival = record.arrival;
        self.stats
            .record_query(&arrival, latency, coverage, CALLER_TIMEOUT);
        if self.variant.is_baseline {
            return;
        }
        let service_time = self.now.since(admitted_at);
        let release = self.instances[instance].gate.finish_with_urgency(
            self.now,
            arrival.urgency,
            service_time,
        );
        self.apply_admission_release(release);
    }

    pub(super) fn apply_admission_release(&mut self, release: AdmissionRelease<usize>) {
        for refusal in release.refused {
            self.refuse_query(refusal.item);
        }
        for query in release.to_start {
            self.start_query(query);
        }
    }
}
