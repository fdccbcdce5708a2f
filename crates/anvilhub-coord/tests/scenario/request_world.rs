//! Entry instances, one shard's replicas and a caller that resends one ticketed request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvilhub_coord::border::query::QueryAnswer;
use anvilhub_coord::ids::Incarnation;
use anvilhub_coord::ticket::{
    ForwardDecision, RequestOrigin, RequestTicket, SendResult, TicketIdentity, TicketLimits,
    TicketOutcome, TicketRefusal, TicketRun, TicketTable,
};
use anvilhub_coord::time::ClockTime;

use super::EventOrder;
use super::request_message::{Body, Message, Node, TryKey, request_id, sub_answer};

pub(super) const KEY: u64 = 5;
pub(super) const QUERY: &str = "book pallet";
/// Time that the caller gives a request. Shorter than a ticket's lifetime.
pub(super) const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) table: TicketTable,
    pub(super) paused: bool,
    /// The instance ends by plan as soon as it owns nothing.
    pub(super) stopping: bool,
    pub(super) listed: bool,
    /// The sheet still names a replica that has left.
    pub(super) stale_sheet: bool,
    pub(super) runs: BTreeMap<u64, ActiveRun>,
    pub(super) waiting: Vec<(u64, usize, Node)>,
    pub(super) forwards: BTreeSet<usize>,
}

#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) run: TicketRun,
    pub(super) attempt: usize,
    pub(super) reply_to: Node,
    pub(super) tries: u32,
    pub(super) sent: bool,
}

/// One sending of the caller's request.
#[derive(Debug)]
pub struct Attempt {
    pub(super) ticket: RequestTicket,
    pub(super) sent_at: ClockTime,
    pub answer: Option<QueryAnswer>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Replica {
    pub(super) lost: bool,
    pub(super) refuses: bool,
    pub(super) silent: bool,
}

/// A step that the world can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Deliver(usize),
    Send(usize, u64),
    TryTimeout(usize, u64),
    ForwardTimeout(usize, usize),
}

#[derive(Debug)]
pub struct RequestWorld {
    pub(super) now: ClockTime,
    pub(super) entries: Vec<Entry>,
    pub(super) replicas: [Replica; 2],
    pub(super) messages: Vec<Message>,
    pub(super) late: Option<Vec<Message>>,
    pub(super) cuts: BTreeSet<(Node, Node)>,
    pub(super) crossed: bool,
    /// The replicas no longer own the key when they answer.
    pub(super) moved: bool,
    pub(super) doubled: bool,
    pub(super) pause: Duration,
    pub(super) incarnations: u64,
    pub attempts: Vec<Attempt>,
    /// The ticket of each effect at a replica.
    pub(super) effects: Vec<(Incarnation, u64)>,
    /// When each issued ticket expires.
    pub(super) expiries: BTreeMap<(Incarnation, u64), ClockTime>,
    pub(super) sent_expired: bool,
}

impl RequestWorld {
    /// A world of `entries` instances whose caller holds a ticket of the first.
    pub fn new(entries: usize) -> Self {
        let mut world = Self {
            now: ClockTime::from_millis(1_000),
            entries: Vec::new(),
            replicas: Default::default(),
            messages: Vec::new(),
            late: None,
            cuts: BTreeSet::new(),
            crossed: false,
            moved: false,
            doubled: false,
            pause: Duration::ZERO,
            incarnations: 0,
            attempts: Vec::new(),
            effects: Vec::new(),
            expiries: BTreeMap::new(),
            sent_expired: false,
        };
        for index in 0..entries {
            let entry = world.new_entry(index);
            world.entries.push(entry);
        }
        world
    }

    pub(super) fn new_entry(&mut self, index: usize) -> Entry {
        self.incarnations += 1;
        let identity = TicketIdentity {
            instance: format!("e{}", index + 1).parse().unwrap(),
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
            incarnation: Incarnation(self.incarnations),
        };
        Entry {
            table: TicketTable::new(identity, TicketLimits::default()),
            paused: false,
            stopping: false,
            listed: true,
            stale_sheet: false,
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            forwards: BTreeSet::new(),
        }
    }

    /// A ticket of the instance `owner`.
    pub fn issue(&mut self, owner: usize) -> Result<RequestTicket, TicketRefusal> {
        let service = "dispatch".parse().unwrap();
        let caller = "desk".parse().unwrap();
        let table = &mut self.entries[owner].table;
        let ticket = table.issue(service, caller, 99, self.now)?;
        let key = (ticket.owner.incarnation, ticket.number.get());
        self.expiries.insert(key, self.now + ticket.lifetime);
        Ok(ticket)
    }

    /// The ticket of the latest sending.
    pub fn last_ticket(&self) -> RequestTicket {
        self.attempts.last().unwrap().ticket.clone()
    }

    /// Sends the request with `ticket` to the instance `via`.
    pub fn send(&mut self, via: usize, ticket: RequestTicket) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            ticket,
            sent_at: self.now,
            answer: None,
        });
        self.push(Node::Caller, Node::Entry(via), Body::Request(attempt));
    }

    /// The next step in the given order, when one is possible without a timeout.
    pub fn progress(&self, order: &mut EventOrder) -> Option<Action> {
        let steps: Vec<_> = self.deliveries().chain(self.sends()).collect();
        (!steps.is_empty()).then(|| steps[order.pick(steps.len())])
    }

    /// Steps that wait for nothing: any of them may come next.
    pub fn enabled(&self) -> Vec<Action> {
        let steps = self.deliveries().chain(self.sends());
        steps.chain(self.timeouts()).collect()
    }

    fn deliveries(&self) -> impl Iterator<Item = Action> {
        let is_paused = |node| matches!(node, Node::Entry(index) if self.entries[index].paused);
        (self.messages.iter().enumerate())
            .filter(move |(_, message)| !is_paused(message.to))
            .map(|(index, _)| Action::Deliver(index))
    }

    fn sends(&self) -> impl Iterator<Item = Action> {
        self.runs()
            .filter(|(_, _, run)| !run.sent)
            .map(|(index, number, _)| Action::Send(index, number))
    }

    fn runs(&self) -> impl Iterator<Item = (usize, u64, &ActiveRun)> {
        let entries = self.entries.iter().enumerate();
        entries
            .filter(|(_, entry)| !entry.paused)
            .flat_map(|(index, entry)| {
                let runs = entry.runs.iter();
                runs.map(move |(&number, run)| (index, number, run))
            })
    }

    fn timeouts(&self) -> impl Iterator<Item = Action> {
        let tries = (self.runs())
            .filter(|(_, _, run)| run.sent)
            .map(|(index, number, _)| Action::TryTimeout(index, number));
        let entries = self.entries.iter().enumerate();
        tries.chain(entries.flat_map(|(index, entry)| {
            let forwards = entry.forwards.iter();
            forwards.map(move |&attempt| Action::ForwardTimeout(index, attempt))
        }))
    }

    /// Takes steps until nothing is left to do, timeouts last.
    pub fn settle(&mut self, order: &mut EventOrder) {
        while let Some(action) = self.progress(order).or_else(|| self.timeouts().next()) {
            self.apply(action);
        }
    }

    pub fn apply(&mut self, action: Action) {
        self.take_step(action);
        for index in 0..self.entries.len() {
            self.end_stopped(index);
        }
    }

    fn take_step(&mut self, action: Action) {
        match action {
            Action::Deliver(index) => self.deliver(index),
            Action::Send(index, number) => self.try_run(index, number),
            Action::TryTimeout(index, number) => self.end_try(index, number, SendResult::Lost),
            Action::ForwardTimeout(index, attempt) => {
                self.entries[index].forwards.remove(&attempt);
                let outcome = ForwardDecision::unanswered_outcome();
                self.reply(Node::Entry(index), Node::Caller, attempt, &outcome);
            }
        }
    }

    pub(super) fn push(&mut self, from: Node, to: Node, body: Body) {
        let message = Message { from, to, body };
        let is_answer = matches!(message.body, Body::Reply(..) | Body::Executed(..));
        match &mut self.late {
            Some(late) if is_answer => late.push(message),
            _ if is_answer && self.doubled => self.messages.extend([message.clone(), message]),
            _ => self.messages.push(message),
        }
    }

    pub(super) fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    fn deliver(&mut self, index: usize) {
        let Message { from, to, body } = self.messages.remove(index);
        if self.is_cut(from, to) {
            return;
        }
        match (to, body) {
            (Node::Entry(entry), Body::Request(attempt)) => self.receive(entry, from, attempt),
            (Node::Entry(entry), Body::Reply(attempt, answer)) => {
                if self.entries[entry].forwards.remove(&attempt) {
                    self.push(to, Node::Caller, Body::Reply(attempt, answer));
                }
            }
            (Node::Caller, Body::Reply(attempt, answer)) => {
                self.attempts[attempt].answer.get_or_insert(answer);
            }
            (Node::Replica(replica), Body::Execute(key)) => self.execute(replica, from, key),
            (Node::Entry(entry), Body::Executed(key, answer)) => self.executed(entry, key, answer),
            (to, body) => panic!("{to:?} does not take {body:?}"),
        }
    }

    fn receive(&mut self, index: usize, from: Node, attempt: usize) {
        let ticket = self.attempts[attempt].ticket.clone();
        let origin = match from {
            Node::Caller => RequestOrigin::Caller,
            _ => RequestOrigin::Peer,
        };
        let owner = usize::from(ticket.owner.address.port()) - 1;
        let listed = self.entries[owner].listed.then_some(ticket.owner.address);
        let me = self.entries[index].table.identity();
        match ForwardDecision::decide(&ticket, me, origin, listed) {
            ForwardDecision::StartHere => self.start(index, from, attempt, &ticket),
            ForwardDecision::Forward(_) => {
                self.entries[index].forwards.insert(attempt);
                let (me, owner) = (Node::Entry(index), Node::Entry(owner));
                self.push(me, owner, Body::Request(attempt));
            }
            ForwardDecision::Unknown(reason) => {
                let outcome = TicketOutcome::Unknown(reason);
                self.reply(Node::Entry(index), from, attempt, &outcome);
            }
        }
    }

    fn execute(&mut self, replica: usize, from: Node, key: TryKey) {
        let Replica {
            lost,
            refuses,
            silent,
        } = self.replicas[replica];
        if lost {
            return;
        }
        if refuses {
            return self.push(Node::Replica(replica), from, Body::Executed(key, None));
        }
        self.effects.push((key.incarnation, key.number));
        if !silent {
            let answer = sub_answer(key.request_id());
            self.push(
                Node::Replica(replica),
                from,
                Body::Executed(key, Some(answer)),
            );
        }
    }

    pub(super) fn reply(&mut self, from: Node, to: Node, attempt: usize, outcome: &TicketOutcome) {
        let answer = outcome.to_answer(request_id(attempt));
        self.push(from, to, Body::Reply(attempt, answer));
    }
}
