mod attempts;
mod queries;

use std::time::Duration;

use anvilhub_coord::admission::{AdmissionRelease, AdmissionVerdict};
use anvilhub_coord::connection::ConnectionId;
use anvilhub_coord::routing::{
    AttemptKind, AttemptRule, AttemptState, AttemptVerdict, LoadReport, SlotOffer, SlotRelease,
};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

use super::fake_entry::domain_of;
use super::fake_upstream::AttemptId;
use super::scenario::RUN_TIME;
use super::{
    Admitted, Arrival, Coordination, Desk, EventQueue, FakeEntry, FakeUpstream, LoadTally,
    OwnerPlan, Scenario, Variant, Workload,
};

/// Entry instances of a deployment.
const ENTRY_COUNT: usize = 8;
/// Time from the intended arrival after which the caller disconnects.
const PATIENCE: Duration = Duration::from_millis(250);
/// The baseline's timeout; also the time after which an attempt without a byte counts as broken.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// One-way latency between failure domains and within one.
const FAR_HOP: Duration = Duration::from_micros(1_500);
const NEAR_HOP: Duration = Duration::from_micros(100);
/// Time until entries notice from the list that an owner is gone.
const LIST_LAG: Duration = Duration::from_secs(2);
/// How often a waiting sub-request looks whether its owner still answers, as in the daemon.
const BYPASS_CHECK: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(20);
const EJECTION_TICK: Duration = Duration::from_millis(100);
/// Time between load reports, which are as old as this when they arrive.
const REPORT_TICK: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Handle(usize, usize, usize),
    Reach(AttemptId),
    Cancel(AttemptId),
    Finish(AttemptId),
    Answer(AttemptId, bool, u32),
    Hedge(AttemptId),
    Timeout(AttemptId),
    Bypass(usize, usize, usize),
    Ping(usize, usize),
    Pong(usize, usize),
    Returned(usize, usize, usize, bool),
    Deadline(usize),
    Tick,
    EjectionTick,
    ReportTick,
}

struct Query {
    arrival: Arrival,
    deadline: ClockTime,
    admitted: Option<ClockTime>,
    ended: bool,
    open: usize,
    answered: usize,
    subs: Vec<Sub>,
}

#[derive(Clone, Default)]
struct Sub {
    resolved: bool,
    forwarded: bool,
    ran: u32,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
struct Attempt {
    handler: usize,
    upstream: usize,
    connection: ConnectionId,
    sent: ClockTime,
    state: AttemptState,
}

/// Runs one service under one variant in virtual time.
pub struct Driver {
    desk: Desk,
    scenario: Scenario,
    variant: Variant,
    caller_latency: Duration,
    workload: Workload,
    events: EventQueue<Event>,
    entries: Vec<FakeEntry>,
    /// Owners by the list of all entries, and by the list without those that the scenario loses.
    first_owners: OwnerPlan,
    later_owners: OwnerPlan,
    upstreams: Vec<FakeUpstream>,
    domains: Vec<usize>,
    reports: Vec<u32>,
    queries: Vec<Query>,
    tally: LoadTally,
    now: ClockTime,
}

impl Driver {
    /// A driver whose arrivals and service times depend on the seed, service and scenario alone.
    pub fn new(
        desk: Desk,
        caller_latency: Duration,
        scenario: Scenario,
        variant: Variant,
        seed: u64,
    ) -> Self {
        let variant = match desk.repeat {
            // Non-idempotent requests are sent directly by the owner of their ticket.
            RepeatPolicy::NonIdempotent if variant.coordination == Coordination::Owner => Variant {
                coordination: Coordination::Independent,
                ..variant
            },
            _ => variant,
        };
        let upstreams: Vec<FakeUpstream> = (0..desk.shards * desk.replicas)
            .map(|upstream| {
                let domain = (upstream / desk.replicas + upstream % desk.replicas) % 3;
                FakeUpstream::new(domain, desk.slots, desk.connections)
            })
            .collect();
        let first_owners = OwnerPlan::new(&desk, 0..ENTRY_COUNT);
        let is_kept = |entry: &usize| !scenario.is_lost(domain_of(*entry), RUN_TIME);
        Self {
            later_owners: OwnerPlan::new(&desk, (0..ENTRY_COUNT).filter(is_kept)),
            desk,
            scenario,
            variant,
            caller_latency,
            workload: Workload {
                desk,
                scenario,
                seed,
            },
            events: EventQueue::new(),
            entries: (0..ENTRY_COUNT)
                .map(|rank| FakeEntry::new(rank, ENTRY_COUNT, &desk, &first_owners, variant, seed))
                .collect(),
            first_owners,
            domains: upstreams.iter().map(|upstream| upstream.domain).collect(),
            reports: vec![0; upstreams.len()],
            upstreams,
            queries: Vec::new(),
            tally: LoadTally::default(),
            now: ClockTime::default(),
        }
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> LoadTally {
        for (index, arrival) in self.workload.arrivals(ENTRY_COUNT).into_iter().enumerate() {
            let reached = arrival.time + self.caller_latency;
            self.events.push(reached, Event::Arrive(index));
            self.queries.push(Query {
                arrival,
                deadline: arrival.time + (PATIENCE - self.caller_latency),
                admitted: None,
                ended: false,
                open: self.desk.shards,
                answered: 0,
                subs: Vec::new(),
            });
        }
        for tick in [Event::Tick, Event::EjectionTick, Event::ReportTick] {
            self.events.push(ClockTime(0), tick);
        }
        while let Some((time, event)) = self.events.pop() {
            self.now = time;
            self.step(event);
        }
        self.count_lost();
        self.tally
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(query) => self.arrive(query),
            Event::Handle(query, shard, handler) => self.handle(query, shard, handler),
            Event::Reach(id) => self.reach(id),
            Event::Cancel(id) => self.cancel_at_upstream(id),
            Event::Finish(id) => self.finish_at_upstream(id),
            Event::Answer(id, ran, load) => self.take_answer(id, ran, load),
            Event::Hedge(id) => self.hedge(id),
            Event::Timeout(id) => self.time_out(id),
            Event::Bypass(query, shard, owner) => self.bypass(query, shard, owner),
            Event::Ping(entry, owner) => self.answer_ping(entry, owner),
            Event::Pong(entry, owner) => {
                self.entries[entry].owners[owner].record_message(self.now, false)
            }
            Event::Returned(query, shard, from, ok) => self.resolve(query, shard, from, ok),
            Event::Deadline(query) => self.end_query(query),
            Event::Tick => self.tick(),
            Event::EjectionTick => self.eject(),
            Event::ReportTick => self.report_loads(),
        }
    }

    fn is_lost(&self, domain: usize) -> bool {
        self.scenario.is_lost(domain, self.now.0 as f64 / 1e6)
    }

    fn hop(&self, entry: usize, domain: usize) -> Duration {
        match self.entries[entry].domain == domain {
            true => NEAR_HOP,
            false => FAR_HOP,
        }
    }

    fn attempt_mut(&mut self, (query, shard, number): AttemptId) -> &mut Attempt {
        &mut self.queries[query].subs[shard].attempts[number]
    }

    fn tick(&mut self) {
        for entry in 0..ENTRY_COUNT {
            if self.variant.baseline || self.is_lost(self.entries[entry].domain) {
                continue;
            }
            let release = self.entries[entry].gate.advance(self.now);
            self.admit(release);
            for shard in 0..self.desk.shards {
                let slots = self.entries[entry].usable_slots(self.now, shard);
                let release = self.entries[entry].queues[shard].set_slots(self.now, slots);
                self.apply(entry, shard, release);
            }
        }
        self.repeat(TICK, Event::Tick);
    }

    fn eject(&mut self) {
        for entry in 0..ENTRY_COUNT {
            let shards: Vec<usize> = (0..self.desk.shards)
                .filter(|&shard| {
                    self.variant.coordination != Coordination::Owner
                        || self.owner_of(shard) == entry
                })
                .collect();
            if self.variant.coordination == Coordination::Owner {
                for &shard in &shards {
                    self.entries[entry].own(shard, &self.desk, entry, ENTRY_COUNT);
                }
            }
            self.entries[entry].eject(self.now, &shards);
        }
        self.repeat(EJECTION_TICK, Event::EjectionTick);
    }

    fn report_loads(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let report = LoadReport {
                in_flight: self.reports[upstream],
                age: REPORT_TICK,
                is_draining: false,
            };
            for entry in &mut self.entries {
                entry.views[upstream].record_report(self.now, report);
            }
            self.reports[upstream] = self.stated_load(upstream);
        }
        self.repeat(REPORT_TICK, Event::ReportTick);
    }

    fn repeat(&mut self, period: Duration, event: Event) {
        if (self.now.0 as f64) < (RUN_TIME + 1.0) * 1e6 {
            self.events.push(self.now + period, event);
        }
    }

    /// Queries of lost entries never end; their callers give up.
    fn count_lost(&mut self) {
        let lost: Vec<Arrival> = self
            .queries
            .iter()
            .filter(|query| !query.ended)
            .map(|query| query.arrival)
            .collect();
        for arrival in lost {
            self.tally.count_query(&arrival, PATIENCE, 0.0, PATIENCE);
        }
    }
}
