//! One fan-out over three shards of two fake upstreams each, driven as an entry instance drives it.

use std::collections::{BTreeSet, VecDeque};

use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{
    AnswerFault, AnswerGather, GatherLimits, GatheredAnswer, MissingReason, ReplicaHolding,
    ShardHolding, SnapshotChooser, SnapshotPlan,
};
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::{KeyRange, RangeSet};

use super::EventOrder;

pub(super) const ASKED: KeyRange = KeyRange { start: 0, end: 30 };
const SHARD_KEYS: u64 = 10;
const REPLICAS: usize = 2;
const SHARDS: usize = 3;

/// A fake upstream. Every key has one row in every snapshot.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) range: KeyRange,
    pub(super) held: BTreeSet<SnapshotId>,
    /// Answers at its newest snapshot whatever was asked.
    pub(super) ignores_snapshot: bool,
    /// Claims keys past its own.
    pub(super) overclaims: bool,
    pub(super) lost: bool,
    pub(super) silent: bool,
    pub(super) slow: bool,
    pub(super) refuses: Option<MissingReason>,
}

#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) id: RequestId,
    pub(super) upstream: usize,
    pub(super) range: KeyRange,
    pub(super) snapshot: Option<SnapshotId>,
}

#[derive(Debug)]
pub(super) enum Event {
    Search(Flight),
    Arrive(Flight, SubAnswer),
    NotHeld(Flight),
    Refused(Flight, MissingReason),
}

#[derive(Debug)]
pub struct FanOutWorld {
    pub(super) upstreams: Vec<Upstream>,
    pub(super) shards: Vec<ShardHolding>,
    pub(super) plan: Option<SnapshotPlan>,
    pub(super) chooser: SnapshotChooser,
    pub(super) gather: AnswerGather,
    pub(super) events: VecDeque<Event>,
    pub(super) slow: Vec<(Flight, SubAnswer)>,
    pub(super) late: Vec<(Flight, SubAnswer)>,
    pub(super) flights: Vec<Flight>,
    pub(super) hedged: RangeSet,
    pub(super) choose_again: bool,
    pub(super) out_of_time: bool,
    pub(super) delays: bool,
    pub(super) crossed: bool,
    pub(super) doubled: bool,
}

impl FanOutWorld {
    pub fn new() -> Self {
        let upstreams = (0..SHARDS * REPLICAS).map(|index| {
            let start = (index / REPLICAS) as u64 * SHARD_KEYS;
            Upstream {
                range: KeyRange::new(start, start + SHARD_KEYS),
                held: [SnapshotId(1)].into(),
                ignores_snapshot: false,
                overclaims: false,
                lost: false,
                silent: false,
                slow: false,
                refuses: None,
            }
        });
        let shards = (0..SHARDS).map(|shard| ShardHolding {
            range: KeyRange::new(shard as u64 * SHARD_KEYS, (shard as u64 + 1) * SHARD_KEYS),
            replicas: (0..REPLICAS)
                .map(|replica| ReplicaHolding {
                    upstream: name(shard * REPLICAS + replica).parse().unwrap(),
                    held_snapshots: Some(vec![SnapshotId(1)]),
                })
                .collect(),
        });
        Self {
            upstreams: upstreams.collect(),
            shards: shards.collect(),
            plan: None,
            chooser: SnapshotChooser::new(ASKED, Vec::new()),
            gather: AnswerGather::new(ASKED, GatherLimits::default()),
            events: VecDeque::new(),
            slow: Vec::new(),
            late: Vec::new(),
            flights: Vec::new(),
            hedged: RangeSet::default(),
            choose_again: false,
            out_of_time: false,
            delays: false,
            crossed: false,
            doubled: false,
        }
    }

    /// Takes the next step, in the given order; false when the answer can go out.
    pub fn step(&mut self, order: &mut EventOrder) -> bool {
        if self.plan.is_none() {
            self.chooser = SnapshotChooser::new(ASKED, self.shards.clone());
            let plan = self.chooser.choose();
            self.follow(plan);
            return true;
        }
        if self.out_of_time {
            return self.give_up();
        }
        if self.events.is_empty() {
            return self.react();
        }
        let event = self.events.remove(order.pick(self.events.len()));
        event.into_iter().for_each(|event| self.handle(event));
        true
    }

    /// Delivers what comes too late and ends the request.
    pub fn finish(mut self) -> GatheredAnswer {
        for (flight, answer) in std::mem::take(&mut self.late) {
            self.accept(flight, answer);
        }
        self.gather.finish()
    }

    fn follow(&mut self, plan: SnapshotPlan) {
        if let Some(snapshot) = plan.snapshot {
            self.gather.pin_snapshot(snapshot);
        }
        for missing in plan.unserved_ranges() {
            self.gather.record_missing(missing.range, missing.reason);
        }
        let gaps = self.gather.gaps();
        for shard in &plan.shards {
            let parts = gaps
                .ranges()
                .iter()
                .map(|gap| gap.intersection(shard.range));
            for range in parts.filter(|range| !range.is_empty()) {
                if let Some(upstream) = shard.replicas.first() {
                    self.send(index(upstream.as_str()), range, plan.snapshot);
                }
            }
        }
        self.hedged = RangeSet::default();
        self.plan = Some(plan);
    }

    fn send(&mut self, upstream: usize, range: KeyRange, snapshot: Option<SnapshotId>) {
        let flight = Flight {
            id: format!("own-{}", self.flights.len()).parse().unwrap(),
            upstream,
            range,
            snapshot,
        };
        self.gather.register(flight.id.clone(), range);
        self.flights.push(flight.clone());
        self.events.push_back(Event::Search(flight));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Search(flight) => self.search(flight),
            Event::Arrive(flight, answer) if self.delays => self.late.push((flight, answer)),
            Event::Arrive(flight, answer) => self.arrive(flight, answer),
            Event::NotHeld(flight) => {
                self.gather
                    .record_failure(&flight.id, MissingReason::SnapshotUnavailable);
                self.learn_held(flight.upstream);
            }
            Event::Refused(flight, reason) => {
                self.gather.record_failure(&flight.id, reason);
                self.hedge(&flight);
            }
        }
    }

    fn search(&mut self, flight: Flight) {
        let upstream = &self.upstreams[flight.upstream];
        if upstream.silent {
            return;
        }
        if upstream.lost {
            return (self.events).push_back(Event::Refused(flight, MissingReason::NoReplica));
        }
        if let Some(reason) = upstream.refuses {
            return self.events.push_back(Event::Refused(flight, reason));
        }
        let newest = *upstream.held.last().unwrap();
        let snapshot = match upstream.ignores_snapshot {
            true => newest,
            false => flight.snapshot.unwrap_or(newest),
        };
        if !upstream.held.contains(&snapshot) {
            return self.events.push_back(Event::NotHeld(flight));
        }
        let range = upstream.range.intersection(flight.range);
        let mut answer = answer(flight.id.clone(), snapshot, range, "own");
        answer.held = upstream.held.iter().copied().collect();
        if upstream.overclaims {
            answer.end += 5;
        }
        match upstream.slow {
            true => self.slow.push((flight, answer)),
            false => self.events.push_back(Event::Arrive(flight, answer)),
        }
    }

    fn arrive(&mut self, flight: Flight, answer: SubAnswer) {
        if self.crossed {
            let stray = "other-0".parse().unwrap();
            let range = KeyRange::new(answer.start, answer.end);
            let foreign = self::answer(stray, answer.snapshot, range, "other");
            self.accept(flight.clone(), foreign);
        }
        if self.doubled {
            self.accept(flight.clone(), answer.clone());
        }
        self.accept(flight, answer);
    }

    fn accept(&mut self, flight: Flight, answer: SubAnswer) {
        let held = answer.held.clone();
        let Err(fault) = self.gather.accept_answer(&flight.id, answer) else {
            let upstream = name(flight.upstream).parse().unwrap();
            return self.chooser.record_held_snapshots(&upstream, &held);
        };
        if let AnswerFault::WrongSnapshot { .. } = fault {
            self.learn_held(flight.upstream);
        }
        match fault {
            AnswerFault::Duplicate { .. } | AnswerFault::Late { .. } => {}
            _ => self.hedge(&flight),
        }
    }

    fn learn_held(&mut self, upstream: usize) {
        let held: Vec<_> = self.upstreams[upstream].held.iter().copied().collect();
        let upstream = name(upstream).parse().unwrap();
        self.chooser.record_held_snapshots(&upstream, &held);
        self.choose_again = true;
    }

    /// Sends the flight's range to the shard's other replica, once.
    fn hedge(&mut self, flight: &Flight) {
        let plan = self.plan.as_ref().unwrap();
        let shards = plan.shards.iter();
        let mut replicas = shards
            .filter(|shard| shard.range.covers(flight.range))
            .flat_map(|shard| &shard.replicas)
            .map(|replica| index(replica.as_str()));
        let other = replicas.find(|&replica| replica != flight.upstream);
        let snapshot = plan.snapshot;
        match other {
            Some(other) if !self.hedged.covers(flight.range) => {
                self.hedged.insert(flight.range);
                self.send(other, flight.range, snapshot);
            }
            _ => {}
        }
    }

    /// What the entry does when nothing arrives: hedge, wait, give up, ask moved ranges, choose again.
    fn react(&mut self) -> bool {
        let awaited: BTreeSet<_> = self.gather.awaited_requests().cloned().collect();
        let flights = self.flights.clone();
        for flight in flights.iter().filter(|flight| awaited.contains(&flight.id)) {
            self.hedge(flight);
        }
        if self.events.is_empty() {
            let slow = std::mem::take(&mut self.slow);
            self.events.extend(
                slow.into_iter()
                    .map(|(flight, answer)| Event::Arrive(flight, answer)),
            );
        }
        if !self.events.is_empty() {
            return true;
        }
        for id in &awaited {
            self.gather.record_failure(id, MissingReason::Timeout);
        }
        let moved = self.gather.take_repartitioned();
        for &gap in moved.ranges() {
            self.ask_moved(gap);
        }
        if std::mem::take(&mut self.choose_again)
            && let Some(plan) = self.chooser.choose_again()
        {
            self.follow(plan);
        }
        !self.events.is_empty()
    }

    /// Asks the upstreams whose present range holds keys of `gap`, as their load reports state.
    fn ask_moved(&mut self, gap: KeyRange) {
        let snapshot = self.gather.snapshot();
        for shard in 0..SHARDS {
            let upstream = shard * REPLICAS;
            let part = self.upstreams[upstream].range.intersection(gap);
            if !part.is_empty() {
                self.send(upstream, part, snapshot);
            }
        }
    }

    /// Ends the request at its deadline; the upstreams answer afterwards.
    fn give_up(&mut self) -> bool {
        while let Some(event) = self.events.pop_front() {
            match event {
                Event::Arrive(flight, answer) => self.late.push((flight, answer)),
                event => self.handle(event),
            }
        }
        self.late.append(&mut self.slow);
        let awaited: Vec<_> = self.gather.awaited_requests().cloned().collect();
        for id in &awaited {
            self.gather.record_failure(id, MissingReason::Timeout);
        }
        false
    }
}

fn answer(id: RequestId, snapshot: SnapshotId, range: KeyRange, tag: &str) -> SubAnswer {
    SubAnswer {
        request_id: id,
        snapshot,
        start: range.start,
        end: range.end,
        rows: (range.start..range.end)
            .map(|key| RowEntry {
                key,
                value: format!("{tag}/s{snapshot}/k{key}"),
            })
            .collect(),
        held: Vec::new(),
        draining: false,
        in_flight: None,
    }
}

/// Name of an upstream: `u`, the shard's number and the replica's, such as `u21`.
fn name(index: usize) -> String {
    format!("u{}{}", index / REPLICAS, index % REPLICAS)
}

pub(super) fn index(name: &str) -> usize {
    let digits: Vec<_> = name.chars().filter_map(|char| char.to_digit(10)).collect();
    let [shard, replica] = digits[..] else {
        panic!("`{name}` is not an upstream");
    };
    shard as usize * REPLICAS + replica as usize
}
