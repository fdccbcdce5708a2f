//! Replays two failure domains with several upstreams and instances that share no counter, without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::f64::consts::TAU;
use std::time::Duration;

use anvilhub_coord::gateway::{
    RankedReplica, RemoteCost, ReplicaRanker, ReplicaStats, SlotLoad, SpilloverChange,
    SpilloverShare,
};
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const SEED: u64 = 7;
const SLOTS: u32 = 2;
const QUEUE_LEN: usize = 12;
const LATENCY_US: [u64; 2] = [200, 1_400];
const REPLAY_S: u64 = 26;
/// Length of the pauses of the first upstream and time between two of them, in microseconds.
const PAUSE_US: [u64; 2] = [200_000, 4_500_000];
/// When the first upstream is eight times slower, in seconds.
const SLOW_S: std::ops::Range<u64> = 10..16;

/// What decides whether an attempt leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// The constant of 1.6 typical latencies.
    Constant,
    /// The cost as a time, within the share.
    Bounded,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) policy: Policy,
    pub(crate) instances: usize,
    pub(crate) typical_ms: u64,
    /// Upstreams of the two domains.
    pub(crate) upstreams: [usize; 2],
    /// Whether the first upstream pauses and becomes slow.
    pub(crate) has_faults: bool,
    /// Mean demand of the domains, relative to the nominal speed of their upstreams.
    pub(crate) demand: [f64; 2],
    /// Swing of the first domain's demand.
    pub(crate) swing: f64,
    pub(crate) seed: u64,
}

const LOAD: Load = Load {
    policy: Policy::Bounded,
    instances: 6,
    typical_ms: 20,
    upstreams: [4, 8],
    has_faults: false,
    demand: [0.85, 0.5],
    swing: 0.55,
    seed: SEED,
};

#[derive(Default)]
struct Upstream {
    running: u32,
    queue: VecDeque<usize>,
}

struct Attempt {
    instance: usize,
    upstream: usize,
    arrived_at: ClockTime,
    sent_at: ClockTime,
    is_repeat: bool,
    work: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Received(usize),
    Worked(usize),
    Answered(usize, Option<[u32; 2]>),
}

#[derive(Default)]
pub(crate) struct Outcome {
    /// Latencies of the domains' callers, in milliseconds.
    latencies: [Vec<f64>; 2],
    pub(crate) failures: [usize; 2],
    /// Fraction of the first domain's attempts that left in each second.
    pub(crate) left: Vec<f64>,
    begins: usize,
    ends: usize,
    expiries: usize,
}

impl Outcome {
    pub(crate) fn quantile(&self, domain: usize, quantile: f64) -> f64 {
        let mut sorted = self.latencies[domain].clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * quantile) as usize]
    }

    fn print(&self, load: &Load) {
        println!(
            "{:?} n={} T={} p50/p95 {:.1}/{:.1} | {:.1}/{:.1} failures {:?} left {:.2} begins {} ends {} expiries {}",
            load.policy,
            load.instances,
            load.typical_ms,
            self.quantile(0, 0.5),
            self.quantile(0, 0.95),
            self.quantile(1, 0.5),
            self.quantile(1, 0.95),
            self.failures,
            self.left.iter().sum::<f64>() / self.left.len() as f64,
            self.begins,
            self.ends,
            self.expiries
        );
    }
}

struct Replay {
    load: Load,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    upstreams: Vec<Upstream>,
    attempts: Vec<Attempt>,
    stats: Vec<Vec<ReplicaStats>>,
    shares: Vec<SpilloverShare>,
    /// Attempts of the first domain by second, and those that left.
    sends: Vec<[usize; 2]>,
    outcome: Outcome,
}

impl Replay {
    fn run(load: Load) -> Outcome {
        let count = 2 * load.instances;
        let upstream_count: usize = load.upstreams.iter().sum();
        let mut replay = Self {
            load,
            random: SmallRng::seed_from_u64(load.seed),
            events: BinaryHeap::new(),
            event_count: 0,
            upstreams: (0..upstream_count).map(|_| Upstream::default()).collect(),
            attempts: Vec::new(),
            stats: vec![vec![ReplicaStats::default(); upstream_count]; count],
            shares: vec![SpilloverShare::default(); count],
            sends: vec![[0; 2]; REPLAY_S as usize],
            outcome: Outcome::default(),
        };
        replay.schedule(0, Event::Arrival(0));
        replay.schedule(0, Event::Arrival(1));
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.handle(ClockTime(at), event);
        }
        let fraction = |sends: &[usize; 2]| sends[1] as f64 / sends[0].max(1) as f64;
        replay.outcome.left = replay.sends.iter().map(fraction).collect();
        replay.outcome.print(&load);
        replay.outcome
    }

    fn domain_of(&self, upstream: usize) -> usize {
        usize::from(upstream >= self.load.upstreams[0])
    }

    /// Starts the work of an attempt and schedules its end.
    fn work(&mut self, now: ClockTime, index: usize) {
        let attempt = &self.attempts[index];
        let mut work_us = attempt.work.as_micros() as u64;
        let mut paused_us = 0;
        if self.load.has_faults && attempt.upstream == 0 {
            if SLOW_S.contains(&(now.0 / 1_000_000)) {
                work_us *= 8;
            }
            let phase = now.0 % PAUSE_US[1];
            paused_us = match phase < PAUSE_US[0] {
                true => PAUSE_US[0] - phase,
                false => (phase + work_us) / PAUSE_US[1] * PAUSE_US[0],
            };
        }
        self.schedule(now.0 + work_us + paused_us, Event::Worked(index));
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn handle(&mut self, now: ClockTime, event: Event) {
        match event {
            Event::Arrival(domain) => {
                let seconds = now.0 as f64 / 1e6;
                let swing = if domain == 0 { self.load.swing } else { 0.0 };
                let capacity_per_us = self.load.upstreams[domain] as f64 * f64::from(SLOTS)
                    / (self.load.typical_ms * 1_000) as f64;
                let demand =
                    self.load.demand[domain] * (1.0 + swing * (TAU * seconds / 13.0).sin());
                let gap = -(1.0 - self.random.random::<f64>()).ln() / (capacity_per_us * demand);
                let next = now.0 + gap as u64 + 1;
                if next < REPLAY_S * 1_000_000 {
                    self.schedule(next, Event::Arrival(domain));
                }
                let instance =
                    domain * self.load.instances + self.random.random_range(0..self.load.instances);
                self.send(now, now, instance, None);
            }
            Event::Received(attempt) => self.receive(now, attempt),
            Event::Worked(attempt) => self.finish_work(now, attempt),
            Event::Answered(attempt, load) => self.answer(now, attempt, load),
        }
    }

    fn send(
        &mut self,
        now: ClockTime,
        arrived_at: ClockTime,
        instance: usize,
        tried: Option<usize>,
    ) {
        let home = instance / self.load.instances;
        let typical = Duration::from_millis(self.load.typical_ms);
        let cost = RemoteCost {
            extra_round_trip: Duration::from_micros(2 * (LATENCY_US[1] - LATENCY_US[0])),
            transfer_time: Duration::from_millis(1),
        };
        let candidates: Vec<RankedReplica> = self.stats[instance]
            .iter()
            .enumerate()
            .map(|(upstream, stats)| RankedReplica {
                cost: stats.cost(now, typical, SLOTS),
                queue_rounds: 0.0,
                is_limited: false,
                is_cooling_down: stats.is_cooling_down(now),
                is_leaving: false,
                is_local: self.domain_of(upstream) == home,
                is_overdue: stats.is_overdue(now, typical, SLOTS),
                remote_cost: (self.load.policy != Policy::Constant)
                    .then(|| cost.in_latencies(typical)),
                answer_age: stats.answer_age(now),
                is_excluded: tried == Some(upstream),
            })
            .collect();
        let mut ranker = ReplicaRanker::default();
        if self.load.policy == Policy::Bounded && tried.is_none() {
            if let Some(saving) = ranker.remote_saving(&candidates) {
                match self.shares[instance].record_choice(now, &saving) {
                    Some(SpilloverChange::Begins) => self.outcome.begins += 1,
                    Some(SpilloverChange::Ends) => self.outcome.ends += 1,
                    Some(SpilloverChange::Expires) => self.outcome.expiries += 1,
                    None => {}
                }
            }
            ranker.leaving_share = self.shares[instance].get();
        }
        let random = &mut self.random;
        let upstream = ranker
            .choose(&candidates, tried.is_some(), || random.random())
            .expect("another upstream");
        let leaves = self.domain_of(upstream) != home;
        if home == 0 {
            let sends = &mut self.sends[(now.0 / 1_000_000).min(REPLAY_S - 1) as usize];
            sends[0] += 1;
            sends[1] += usize::from(leaves);
        }
        self.stats[instance][upstream].record_send(now);
        // Upstreams are uneven: 0.8 to 1.2 of the nominal speed, and requests by a quarter.
        let speed = 0.8 + 0.4 * (upstream % 4) as f64 / 3.0;
        let work = typical.mul_f64(speed * self.random.random_range(0.75..1.25));
        self.attempts.push(Attempt {
            instance,
            upstream,
            arrived_at,
            sent_at: now,
            is_repeat: tried.is_some(),
            work,
        });
        let at = now.0 + LATENCY_US[usize::from(leaves)];
        self.schedule(at, Event::Received(self.attempts.len() - 1));
    }

    fn receive(&mut self, now: ClockTime, index: usize) {
        let upstream = &mut self.upstreams[self.attempts[index].upstream];
        if upstream.running < SLOTS {
            upstream.running += 1;
            self.work(now, index);
        } else if upstream.queue.len() < QUEUE_LEN {
            upstream.queue.push_back(index);
        } else {
            self.reply(now, index, None);
        }
    }

    fn finish_work(&mut self, now: ClockTime, index: usize) {
        let upstream = &mut self.upstreams[self.attempts[index].upstream];
        let next = upstream.queue.pop_front();
        upstream.running -= u32::from(next.is_none());
        let load = [upstream.running, upstream.queue.len() as u32];
        if let Some(next) = next {
            self.work(now, next);
        }
        self.reply(now, index, Some(load));
    }

    fn reply(&mut self, now: ClockTime, index: usize, load: Option<[u32; 2]>) {
        let attempt = &self.attempts[index];
        let leaves = self.domain_of(attempt.upstream) != attempt.instance / self.load.instances;
        let at = now.0 + LATENCY_US[usize::from(leaves)];
        self.schedule(at, Event::Answered(index, load));
    }

    fn answer(&mut self, now: ClockTime, index: usize, load: Option<[u32; 2]>) {
        let Attempt {
            instance,
            upstream,
            arrived_at,
            sent_at,
            is_repeat,
            ..
        } = self.attempts[index];
        let home = instance / self.load.instances;
        let leaves = self.domain_of(upstream) != home;
        let extra = LATENCY_US[usize::from(leaves)] - LATENCY_US[0];
        let mut typical = Duration::from_millis(self.load.typical_ms);
        if self.load.policy != Policy::Constant {
            typical += Duration::from_micros(2 * extra);
        }
        let stats = &mut self.stats[instance][upstream];
        let Some([running, waiting]) = load else {
            stats.record_refusal(now, sent_at);
            match is_repeat {
                true => self.outcome.failures[home] += 1,
                false => self.send(now, arrived_at, instance, Some(upstream)),
            }
            return;
        };
        stats.record_answer(now, sent_at, typical);
        stats.record_load(
            now,
            SlotLoad {
                running,
                waiting,
                slots: SLOTS,
                slowdown: 1.0,
            },
        );
        let latency = now.since(arrived_at).as_secs_f64() * 1e3;
        self.outcome.latencies[home].push(latency);
    }
}

pub(crate) fn replay(policy: Policy, change: impl FnOnce(&mut Load)) -> Outcome {
    let mut load = Load { policy, ..LOAD };
    change(&mut load);
    Replay::run(load)
}
