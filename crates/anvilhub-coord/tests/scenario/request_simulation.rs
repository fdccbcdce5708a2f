//! Simulation of a ticketed request: entry instances, the replicas of one shard, and a caller that resends the request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvilhub_coord::border::query::QueryAnswer;
use anvilhub_coord::ids::Incarnation;
use anvilhub_coord::ticket::{
    ForwardDecision, RequestOrigin, RequestTicket, SendResult, TicketLimits, TicketOutcome,
    TicketOwner, TicketRefusal, TicketRun, TicketTable,
};
use anvilhub_coord::time::ClockTime;

use super::EventOrder;
use super::request_message::{
    AttemptKey, MessageBody, NodeId, RequestMessage, request_id, sub_answer,
};

/// The key that the simulated request searches.
pub(super) const REQUEST_KEY: u64 = 5;
/// The query text of the simulated request.
pub(super) const REQUEST_QUERY: &str = "book pallet";
/// Time between the start of a request and its deadline. It is shorter than the lifetime of a ticket.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub(super) struct FakeInstance {
    pub(super) table: TicketTable,
    pub(super) is_paused: bool,
    /// Whether a planned stop is in progress. It ends the instance as soon as no ticket or request is left.
    pub(super) is_stopping: bool,
    pub(super) is_listed: bool,
    /// Whether its sheet still contains the address of a replica that has left.
    pub(super) has_stale_sheet: bool,
    pub(super) runs: BTreeMap<u64, ActiveRun>,
    /// Resends that wait for the run of a ticket: the ticket's number, the request and where to reply.
    pub(super) waiting: Vec<(u64, usize, NodeId)>,
    /// Requests that were forwarded to their owner and not answered yet.
    pub(super) forwards: BTreeSet<usize>,
}

#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) run: TicketRun,
    /// Index of the request that started the run.
    pub(super) request: usize,
    pub(super) reply_to: NodeId,
    pub(super) attempt_count: u32,
    /// Whether an attempt is in flight.
    pub(super) has_attempt_in_flight: bool,
}

/// One sending of the caller's request. Each resend is recorded as a separate `CallerRequest`.
#[derive(Debug)]
pub struct CallerRequest {
    pub(super) ticket: RequestTicket,
    pub(super) sent_at: ClockTime,
    pub answer: Option<QueryAnswer>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FakeReplica {
    pub(super) is_lost: bool,
    pub(super) is_refusing: bool,
    pub(super) is_silent: bool,
}

/// An event that can happen next in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Delivers the message at this index.
    Deliver(usize),
    /// Sends the next attempt of an instance's run, given by the ticket's number.
    SendAttempt(usize, u64),
    /// Ends an instance's wait for the answer to an attempt, given by the ticket's number.
    TimeOutAttempt(usize, u64),
    /// Ends an instance's wait for the answer to a forwarded request, given by the request's index.
    TimeOutForward(usize, usize),
}

#[derive(Debug)]
pub struct RequestSimulation {
    pub(super) now: ClockTime,
    pub(super) instances: Vec<FakeInstance>,
    pub(super) replicas: [FakeReplica; 2],
    pub(super) messages: Vec<RequestMessage>,
    /// The answers held back so far, or `None` while answers are delivered normally.
    pub(super) held_answers: Option<Vec<RequestMessage>>,
    pub(super) partitions: BTreeSet<(NodeId, NodeId)>,
    /// Whether replicas answer with another request's answer.
    pub(super) has_crossed_answers: bool,
    /// Whether the replicas no longer own the key when they answer.
    pub(super) has_moved_key: bool,
    pub(super) duplicates_answers: bool,
    /// Duration of the current pause; the clock advances by it when the pause ends.
    pub(super) pause_time: Duration,
    pub(super) last_incarnation: u64,
    pub requests: Vec<CallerRequest>,
    /// The ticket of each execution at a replica.
    pub(super) effects: Vec<(Incarnation, u64)>,
    /// The expiry of each issued ticket.
    pub(super) expiries: BTreeMap<(Incarnation, u64), ClockTime>,
    /// Whether an attempt was sent after the expiry of its ticket.
    pub(super) has_sent_expired: bool,
}

impl RequestSimulation {
    /// Creates a simulation of `instance_count` instances.
    pub fn new(instance_count: usize) -> Self {
        let mut simulation = Self {
            now: ClockTime::from_millis(1_000),
            instances: Vec::new(),
            replicas: Default::default(),
            messages: Vec::new(),
            held_answers: None,
            partitions: BTreeSet::new(),
            has_crossed_answers: false,
            has_moved_key: false,
            duplicates_answers: false,
            pause_time: Duration::ZERO,
            last_incarnation: 0,
            requests: Vec::new(),
            effects: Vec::new(),
            expiries: BTreeMap::new(),
            has_sent_expired: false,
        };
        for index in 0..instance_count {
            let instance = simulation.new_instance(index);
            simulation.instances.push(instance);
        }
        simulation
    }

    pub(super) fn new_instance(&mut self, index: usize) -> FakeInstance {
        self.last_incarnation += 1;
        let owner = TicketOwner {
            instance: format!("e{}", index + 1).parse().unwrap(),
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
            incarnation: Incarnation(self.last_incarnation),
        };
        FakeInstance {
            table: TicketTable::new(owner, TicketLimits::default()),
            is_paused: false,
            is_stopping: false,
            is_listed: true,
            has_stale_sheet: false,
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            forwards: BTreeSet::new(),
        }
    }

    /// Issues a ticket at the instance `owner`.
    pub fn issue_ticket(&mut self, owner: usize) -> Result<RequestTicket, TicketRefusal> {
        let service = "dispatch".parse().unwrap();
        let caller = "desk".parse().unwrap();
        let table = &mut self.instances[owner].table;
        let ticket = table.issue(service, caller, 99, self.now)?;
        let key = (ticket.owner.incarnation, ticket.number.get());
        self.expiries.insert(key, self.now + ticket.lifetime);
        Ok(ticket)
    }

    /// Returns the ticket of the last request.
    pub fn last_ticket(&self) -> RequestTicket {
        self.requests.last().unwrap().ticket.clone()
    }

    /// Sends the request with `ticket` to the instance `via`.
    pub fn send_request(&mut self, via: usize, ticket: RequestTicket) {
        let request = self.requests.len();
        self.requests.push(CallerRequest {
            ticket,
            sent_at: self.now,
            answer: None,
        });
        self.push_message(
            NodeId::Caller,
            NodeId::Instance(via),
            MessageBody::Request(request),
        );
    }

    /// Returns the next action in the given order, if one is possible without a timeout.
    pub fn next_action(&self, order: &mut EventOrder) -> Option<RequestAction> {
        let actions: Vec<_> = self
            .possible_deliveries()
            .chain(self.possible_attempts())
            .collect();
        (!actions.is_empty()).then(|| actions[order.pick(actions.len())])
    }

    /// Returns all actions that can happen next, including timeouts.
    pub fn possible_actions(&self) -> Vec<RequestAction> {
        let actions = self.possible_deliveries().chain(self.possible_attempts());
        actions.chain(self.possible_timeouts()).collect()
    }

    fn possible_deliveries(&self) -> impl Iterator<Item = RequestAction> {
        let is_paused =
            |node| matches!(node, NodeId::Instance(index) if self.instances[index].is_paused);
        (self.messages.iter().enumerate())
            .filter(move |(_, message)| !is_paused(message.to))
            .map(|(index, _)| RequestAction::Deliver(index))
    }

    fn possible_attempts(&self) -> impl Iterator<Item = RequestAction> {
        self.active_runs()
            .filter(|(_, _, run)| !run.has_attempt_in_flight)
            .map(|(index, number, _)| RequestAction::SendAttempt(index, number))
    }

    fn active_runs(&self) -> impl Iterator<Item = (usize, u64, &ActiveRun)> {
        let instances = self.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| !instance.is_paused)
            .flat_map(|(index, instance)| {
                let runs = instance.runs.iter();
                runs.map(move |(&number, run)| (index, number, run))
            })
    }

    fn possible_timeouts(&self) -> impl Iterator<Item = RequestAction> {
        let attempts = (self.active_runs())
            .filter(|(_, _, run)| run.has_attempt_in_flight)
            .map(|(index, number, _)| RequestAction::TimeOutAttempt(index, number));
        let instances = self.instances.iter().enumerate();
        attempts.chain(instances.flat_map(|(index, instance)| {
            let forwards = instance.forwards.iter();
            forwards.map(move |&request| RequestAction::TimeOutForward(index, request))
        }))
    }

    /// Applies actions until none is possible; timeouts only when nothing else is.
    pub fn run_until_idle(&mut self, order: &mut EventOrder) {
        while let Some(action) = self
            .next_action(order)
            .or_else(|| self.possible_timeouts().next())
        {
            self.apply_action(action);
        }
    }

    /// Applies an action and ends stopping instances that are drained.
    pub fn apply_action(&mut self, action: RequestAction) {
        self.perform_action(action);
        for index in 0..self.instances.len() {
            self.end_if_drained(index);
        }
    }

    fn perform_action(&mut self, action: RequestAction) {
        match action {
            RequestAction::Deliver(index) => self.deliver_message(index),
            RequestAction::SendAttempt(index, number) => self.send_attempt(index, number),
            RequestAction::TimeOutAttempt(index, number) => {
                self.end_attempt(index, number, SendResult::Lost)
            }
            RequestAction::TimeOutForward(index, request) => {
                self.instances[index].forwards.remove(&request);
                let outcome = ForwardDecision::unanswered_outcome();
                self.send_reply(NodeId::Instance(index), NodeId::Caller, request, &outcome);
            }
        }
    }

    /// Sends a message, subject to the faults that hold back or duplicate answers.
    pub(super) fn push_message(&mut self, from: NodeId, to: NodeId, body: MessageBody) {
        let message = RequestMessage { from, to, body };
        let is_answer = matches!(
            message.body,
            MessageBody::Reply(..) | MessageBody::AttemptResult(..)
        );
        match &mut self.held_answers {
            Some(held) if is_answer => held.push(message),
            _ if is_answer && self.duplicates_answers => {
                self.messages.extend([message.clone(), message])
            }
            _ => self.messages.push(message),
        }
    }

    pub(super) fn is_partitioned(&self, from: NodeId, to: NodeId) -> bool {
        self.partitions.contains(&(from, to)) || self.partitions.contains(&(to, from))
    }

    fn deliver_message(&mut self, index: usize) {
        let RequestMessage { from, to, body } = self.messages.remove(index);
        if self.is_partitioned(from, to) {
            return;
        }
        match (to, body) {
            (NodeId::Instance(instance), MessageBody::Request(request)) => {
                self.receive_request(instance, from, request)
            }
            (NodeId::Instance(instance), MessageBody::Reply(request, answer)) => {
                if self.instances[instance].forwards.remove(&request) {
                    self.push_message(to, NodeId::Caller, MessageBody::Reply(request, answer));
                }
            }
            (NodeId::Caller, MessageBody::Reply(request, answer)) => {
                self.requests[request].answer.get_or_insert(answer);
            }
            (NodeId::Replica(replica), MessageBody::Attempt(key)) => {
                self.execute_at_replica(replica, from, key)
            }
            (NodeId::Instance(instance), MessageBody::AttemptResult(key, answer)) => {
                self.receive_attempt_result(instance, key, answer)
            }
            (to, body) => panic!("{to:?} cannot handle {body:?}"),
        }
    }

    fn receive_request(&mut self, index: usize, from: NodeId, request: usize) {
        let ticket = self.requests[request].ticket.clone();
        let origin = match from {
            NodeId::Caller => RequestOrigin::Caller,
            _ => RequestOrigin::Peer,
        };
        let owner = usize::from(ticket.owner.address.port()) - 1;
        let listed = self.instances[owner]
            .is_listed
            .then_some(ticket.owner.address);
        let own_instance = self.instances[index].table.owner();
        match ForwardDecision::decide(&ticket, own_instance, origin, listed) {
            ForwardDecision::StartHere => self.start_request(index, from, request, &ticket),
            ForwardDecision::Forward(_) => {
                self.instances[index].forwards.insert(request);
                let (from, to) = (NodeId::Instance(index), NodeId::Instance(owner));
                self.push_message(from, to, MessageBody::Request(request));
            }
            ForwardDecision::Unknown(reason) => {
                let outcome = TicketOutcome::Unknown(reason);
                self.send_reply(NodeId::Instance(index), from, request, &outcome);
            }
        }
    }

    fn execute_at_replica(&mut self, replica: usize, from: NodeId, key: AttemptKey) {
        let FakeReplica {
            is_lost,
            is_refusing,
            is_silent,
        } = self.replicas[replica];
        if is_lost {
            return;
        }
        if is_refusing {
            return self.push_message(
                NodeId::Replica(replica),
                from,
                MessageBody::AttemptResult(key, None),
            );
        }
        self.effects.push((key.incarnation, key.number));
        if !is_silent {
            let answer = sub_answer(key.request_id());
            self.push_message(
                NodeId::Replica(replica),
                from,
                MessageBody::AttemptResult(key, Some(answer)),
            );
        }
    }

    pub(super) fn send_reply(
        &mut self,
        from: NodeId,
        to: NodeId,
        request: usize,
        outcome: &TicketOutcome,
    ) {
        let answer = outcome.to_answer(request_id(request));
        self.push_message(from, to, MessageBody::Reply(request, answer));
    }
}
