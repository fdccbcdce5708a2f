//! What the owner of a ticket does with its request.

use anvilhub_coord::border::query::QueryAnswer;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{AnswerGather, GatherLimits};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::ticket::{
    NotRunReason, RequestDigest, RequestTicket, RetryDecision, SendDecision, SendResult,
    StartDecision, TicketOutcome,
};

use super::request_message::{Body, Node, TryKey, done, request_id, sub_answer};
use super::request_world::{ActiveRun, KEY, PATIENCE, QUERY, RequestWorld};

impl RequestWorld {
    pub(super) fn start(
        &mut self,
        index: usize,
        from: Node,
        attempt: usize,
        ticket: &RequestTicket,
    ) {
        let request = RequestDigest::new(KEY, QUERY);
        let number = ticket.number.get();
        let entry = &mut self.entries[index];
        let started = (entry.table).start(ticket, request, self.now + PATIENCE, self.now);
        match started {
            Ok(StartDecision::Run(run)) => {
                let run = ActiveRun {
                    run,
                    attempt,
                    reply_to: from,
                    tries: 0,
                    sent: false,
                };
                entry.runs.insert(number, run);
            }
            Ok(StartDecision::Wait) => entry.waiting.push((number, attempt, from)),
            Ok(StartDecision::Recorded(outcome)) => {
                self.reply(Node::Entry(index), from, attempt, &outcome);
            }
            Err(refusal) => {
                let answer = QueryAnswer {
                    outcome: refusal.outcome(),
                    error: Some(refusal.to_error()),
                    ..TicketOutcome::NotRun(NotRunReason::Shed).to_answer(request_id(attempt))
                };
                self.push(Node::Entry(index), from, Body::Reply(attempt, answer));
            }
        }
    }

    pub(super) fn try_run(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let active = entry.runs.get_mut(&number).unwrap();
        if let SendDecision::Stop(outcome) = active.run.begin_send(self.now) {
            return self.finish(index, number, outcome);
        }
        let has_left = entry.stale_sheet && active.tries == 0;
        let replica = active.tries as usize % self.replicas.len();
        active.tries += 1;
        active.sent = true;
        let key = TryKey {
            incarnation: entry.table.identity().incarnation,
            number,
            tries: active.tries,
        };
        let expiry = self.expiries[&(key.incarnation, number)];
        self.sent_expired |= self.now >= expiry;
        let (from, to) = (Node::Entry(index), Node::Replica(replica));
        match has_left || self.replicas[replica].lost || self.is_cut(from, to) {
            true => self.end_try(index, number, SendResult::NotSent),
            false => self.push(from, to, Body::Execute(key)),
        }
    }

    pub(super) fn executed(&mut self, index: usize, key: TryKey, answer: Option<SubAnswer>) {
        let entry = &self.entries[index];
        let is_awaited = entry.table.identity().incarnation == key.incarnation
            && (entry.runs.get(&key.number)).is_some_and(|run| run.sent && run.tries == key.tries);
        if !is_awaited {
            return;
        }
        let Some(mut answer) = answer else {
            return self.end_try(index, key.number, SendResult::Refused);
        };
        if self.crossed {
            answer = sub_answer("other".parse().unwrap());
        }
        if self.moved {
            answer.end = answer.start;
        }
        let mut gather = AnswerGather::new(KeyRange::single(KEY), GatherLimits::default());
        gather.register(key.request_id(), KeyRange::single(KEY));
        // An upstream that lost the key may still have acted on the request.
        let accepted = gather.accept_answer(&key.request_id(), answer);
        if accepted.is_err() || !gather.is_complete() {
            return self.end_try(index, key.number, SendResult::Lost);
        }
        let entry = &mut self.entries[index];
        let active = entry.runs.get_mut(&key.number).unwrap();
        assert_eq!(
            active.run.record_send_result(SendResult::Answered),
            RetryDecision::Finish
        );
        let outcome = done(gather);
        self.finish(index, key.number, outcome);
    }

    pub(super) fn end_try(&mut self, index: usize, number: u64, result: SendResult) {
        let active = self.entries[index].runs.get_mut(&number).unwrap();
        active.sent = false;
        if let RetryDecision::Stop(outcome) = active.run.record_send_result(result) {
            self.finish(index, number, outcome);
        }
    }

    fn finish(&mut self, index: usize, number: u64, outcome: TicketOutcome) {
        let entry = &mut self.entries[index];
        let active = entry.runs.remove(&number).unwrap();
        let outcome = entry.table.finish(active.run, outcome, self.now);
        let (woken, waiting): (Vec<_>, Vec<_>) =
            (entry.waiting.drain(..)).partition(|(waits_for, ..)| *waits_for == number);
        entry.waiting = waiting;
        let me = Node::Entry(index);
        self.reply(me, active.reply_to, active.attempt, &outcome);
        for (_, attempt, reply_to) in woken {
            self.reply(me, reply_to, attempt, &outcome);
        }
    }
}
