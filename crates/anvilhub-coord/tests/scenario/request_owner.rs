//! Execution of a request by the owner of its ticket.

use anvilhub_coord::border::query::QueryAnswer;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{AnswerGather, GatherLimits};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::ticket::{
    NotRunReason, RequestDigest, RequestTicket, RetryDecision, SendDecision, SendResult,
    StartDecision, TicketOutcome,
};

use super::request_message::{
    AttemptKey, MessageBody, NodeId, done_outcome, request_id, sub_answer,
};
use super::request_simulation::{
    ActiveRun, REQUEST_KEY, REQUEST_QUERY, REQUEST_TIMEOUT, RequestSimulation,
};

impl RequestSimulation {
    /// Starts a request at the owner of its ticket, or replies with its recorded outcome.
    pub(super) fn start_request(
        &mut self,
        index: usize,
        from: NodeId,
        request: usize,
        ticket: &RequestTicket,
    ) {
        let digest = RequestDigest::new(REQUEST_KEY, REQUEST_QUERY);
        let number = ticket.number.get();
        let instance = &mut self.instances[index];
        let started = (instance.table).start(ticket, digest, self.now + REQUEST_TIMEOUT, self.now);
        match started {
            Ok(StartDecision::Run(run)) => {
                let run = ActiveRun {
                    run,
                    request,
                    reply_to: from,
                    attempt_count: 0,
                    has_attempt_in_flight: false,
                };
                instance.runs.insert(number, run);
            }
            Ok(StartDecision::Wait) => instance.waiting.push((number, request, from)),
            Ok(StartDecision::Recorded(outcome)) => {
                self.send_reply(NodeId::Instance(index), from, request, &outcome);
            }
            Err(refusal) => {
                let answer = QueryAnswer {
                    outcome: refusal.outcome(),
                    error: Some(refusal.to_error()),
                    ..TicketOutcome::NotRun(NotRunReason::Shed).to_answer(request_id(request))
                };
                self.push_message(
                    NodeId::Instance(index),
                    from,
                    MessageBody::Reply(request, answer),
                );
            }
        }
    }

    /// Sends the next attempt of a run to a replica.
    pub(super) fn send_attempt(&mut self, index: usize, number: u64) {
        let instance = &mut self.instances[index];
        let active = instance.runs.get_mut(&number).unwrap();
        if let SendDecision::Stop(outcome) = active.run.begin_send(self.now) {
            return self.finish_run(index, number, outcome);
        }
        let is_stale_address = instance.has_stale_sheet && active.attempt_count == 0;
        let replica = active.attempt_count as usize % self.replicas.len();
        active.attempt_count += 1;
        active.has_attempt_in_flight = true;
        let key = AttemptKey {
            incarnation: instance.table.owner().incarnation,
            number,
            attempt: active.attempt_count,
        };
        let expiry = self.expiries[&(key.incarnation, number)];
        self.has_sent_expired |= self.now >= expiry;
        let (from, to) = (NodeId::Instance(index), NodeId::Replica(replica));
        match is_stale_address || self.replicas[replica].is_lost || self.is_partitioned(from, to) {
            true => self.end_attempt(index, number, SendResult::NotSent),
            false => self.push_message(from, to, MessageBody::Attempt(key)),
        }
    }

    /// Handles the result of an attempt; `None` stands for a `not_run` refusal.
    pub(super) fn receive_attempt_result(
        &mut self,
        index: usize,
        key: AttemptKey,
        answer: Option<SubAnswer>,
    ) {
        let instance = &self.instances[index];
        let is_awaited = instance.table.owner().incarnation == key.incarnation
            && (instance.runs.get(&key.number))
                .is_some_and(|run| run.has_attempt_in_flight && run.attempt_count == key.attempt);
        if !is_awaited {
            return;
        }
        let Some(mut answer) = answer else {
            return self.end_attempt(index, key.number, SendResult::Refused);
        };
        if self.has_crossed_answers {
            answer = sub_answer("other".parse().unwrap());
        }
        if self.has_moved_key {
            answer.end = answer.start;
        }
        let mut gather = AnswerGather::new(KeyRange::single(REQUEST_KEY), GatherLimits::default());
        gather.register(key.request_id(), KeyRange::single(REQUEST_KEY));
        // An upstream that no longer holds the key may still have executed the request.
        let accepted = gather.accept_answer(&key.request_id(), answer);
        if accepted.is_err() || !gather.is_complete() {
            return self.end_attempt(index, key.number, SendResult::Lost);
        }
        let instance = &mut self.instances[index];
        let active = instance.runs.get_mut(&key.number).unwrap();
        assert_eq!(
            active.run.record_send_result(SendResult::Answered),
            RetryDecision::Finish
        );
        let outcome = done_outcome(gather);
        self.finish_run(index, key.number, outcome);
    }

    /// Records an attempt without an answer, and ends the run if no retry is allowed.
    pub(super) fn end_attempt(&mut self, index: usize, number: u64, result: SendResult) {
        let active = self.instances[index].runs.get_mut(&number).unwrap();
        active.has_attempt_in_flight = false;
        if let RetryDecision::Stop(outcome) = active.run.record_send_result(result) {
            self.finish_run(index, number, outcome);
        }
    }

    /// Records the outcome and replies to all requests that wait for it.
    fn finish_run(&mut self, index: usize, number: u64, outcome: TicketOutcome) {
        let instance = &mut self.instances[index];
        let active = instance.runs.remove(&number).unwrap();
        let outcome = instance.table.finish(active.run, outcome, self.now);
        let (finished, waiting): (Vec<_>, Vec<_>) =
            (instance.waiting.drain(..)).partition(|(waits_for, ..)| *waits_for == number);
        instance.waiting = waiting;
        let owner = NodeId::Instance(index);
        self.send_reply(owner, active.reply_to, active.request, &outcome);
        for (_, request, reply_to) in finished {
            self.send_reply(owner, reply_to, request, &outcome);
        }
    }
}
