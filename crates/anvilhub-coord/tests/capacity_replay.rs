//! Replays a deployment whose callers compete for slow shards, without and with priorities. Guards against urgent gathered
//! requests that miss their target behind less urgent ones, and against less urgent ones that pay more than they must.

use std::collections::VecDeque;

use anvilhub_coord::gateway::{
    CapacityClaim, CapacityDecision, CapacityQueue, CapacityTicket, SlotLoad,
};
use anvilhub_coord::time::ClockTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SEED: u64 = 20_261_206;
const SHARDS: usize = 90;
const INSTANCES: usize = 2;
const CONNECTIONS: u32 = 6;
const SLOTS: usize = 2;
/// Time in which requests arrive, and length of a replay.
const ARRIVAL_MS: u64 = 10_000;
const RUN_MS: u64 = 20_000;
/// Burst of one kind, and time in which every tenth shard is slow.
const BURST_MS: std::ops::Range<u64> = 2_000..6_000;
const BURST_FACTOR: f64 = 2.6;
const SLOWDOWN: u64 = 8;
const PAUSE_MS: u64 = 200;
const PAUSE_PERIOD_MS: u64 = 4_500;
/// Time after its target for which an attempt that was sent keeps its connection.
const GRACE_MS: u64 = 250;

/// Priority, work in microseconds, target in milliseconds and rate a second of alerts, sweeps and patient look-ups. The time of
/// the last is their limit: they may be late, but must be answered.
const KINDS: [(u32, u64, u64, f64); 3] = [
    (0, 6_700, 50, 15.0),
    (1, 20_000, 200, 25.0),
    (2, 160_000, 10_000, 8.0),
];
const SWEEP: usize = 1;
const PATIENT: usize = 2;

/// How connections are granted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// In the order of arrival.
    Arrival,
    /// By priority.
    Priority,
    /// By priority, and lower priorities are held back in front of busy upstreams.
    Window,
}

#[derive(Clone, Copy)]
struct Arrival {
    at_ms: u64,
    kind: usize,
}

/// An attempt at the upstream.
struct SentAttempt {
    request: usize,
    work_left_us: u64,
    is_connected: bool,
}

/// Returns the requests of the kinds before `kind_count`, with a burst of `burst_kind`.
fn arrivals(kind_count: usize, burst_kind: usize) -> Vec<Arrival> {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    for at_ms in 0..ARRIVAL_MS {
        for (kind, &(_, _, _, rate)) in KINDS[..kind_count].iter().enumerate() {
            let is_burst = kind == burst_kind && BURST_MS.contains(&at_ms);
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            if random.random_bool(rate * factor / 1_000.0) {
                arrivals.push(Arrival { at_ms, kind });
            }
        }
    }
    arrivals
}

/// Replays one shard and adds one to each request that it answers within the target.
fn replay_shard(shard: u64, arrivals: &[Arrival], policy: Policy, answered: &mut [usize]) {
    let mut queues: Vec<CapacityQueue<usize>> = (0..INSTANCES)
        .map(|_| CapacityQueue::new(CONNECTIONS, SLOTS as u32))
        .collect();
    let mut waiting: Vec<(usize, CapacityTicket)> = Vec::new();
    let mut upstream: VecDeque<SentAttempt> = VecDeque::new();
    let mut next = 0;
    for now_ms in 0..RUN_MS {
        let now = ClockTime::from_millis(now_ms);
        let target_of = |request: usize| arrivals[request].at_ms + KINDS[arrivals[request].kind].2;
        let has_higher = |request: usize| policy == Policy::Window && arrivals[request].kind > 0;
        let sent = |request: usize| SentAttempt {
            request,
            work_left_us: KINDS[arrivals[request].kind].1,
            is_connected: true,
        };
        while next < arrivals.len() && arrivals[next].at_ms == now_ms {
            let (priority, _, target_ms, _) = KINDS[arrivals[next].kind];
            let claim = CapacityClaim {
                deadline: ClockTime::from_millis(target_of(next)),
                has_higher: has_higher(next),
                ..CapacityClaim::new(
                    priority,
                    policy != Policy::Arrival,
                    Duration::from_millis(target_ms),
                )
            };
            match queues[next % INSTANCES].offer(now, claim, next) {
                CapacityDecision::Granted(request) => upstream.push_back(sent(request)),
                CapacityDecision::Queued(ticket) => waiting.push((next, ticket)),
                CapacityDecision::Rejected(_) => {}
            }
            next += 1;
        }
        // The run of a request ends at its target, and with it the waits of its attempts.
        waiting.retain(|&(request, ticket)| {
            let is_late = target_of(request) <= now_ms;
            if is_late {
                queues[request % INSTANCES].withdraw(ticket);
            }
            !is_late
        });
        let is_slow = shard.is_multiple_of(10) && BURST_MS.contains(&now_ms);
        let is_paused = (now_ms + shard * 50) % PAUSE_PERIOD_MS < PAUSE_MS;
        let progress_us = match (is_paused, is_slow) {
            (true, _) => 0,
            (false, true) => 1_000 / SLOWDOWN,
            (false, false) => 1_000,
        };
        for attempt in upstream.iter_mut().take(SLOTS) {
            attempt.work_left_us = attempt.work_left_us.saturating_sub(progress_us);
        }
        let mut released = Vec::new();
        for attempt in &mut upstream {
            let is_done = attempt.work_left_us == 0;
            let target_ms = target_of(attempt.request);
            if attempt.is_connected && (is_done || now_ms >= target_ms + GRACE_MS) {
                attempt.is_connected = false;
                released.push(attempt.request);
                answered[attempt.request] += usize::from(is_done && now_ms < target_ms);
            }
        }
        upstream.retain(|attempt| attempt.work_left_us > 0);
        let running = upstream.len().min(SLOTS);
        let load = SlotLoad {
            running: running as u32,
            waiting: (upstream.len() - running) as u32,
            ..SlotLoad::default()
        };
        for request in released {
            let held = Duration::from_millis(now_ms - arrivals[request].at_ms);
            let queue = &mut queues[request % INSTANCES];
            queue.record_load(now, load);
            let release = queue.release(now, held, has_higher(request));
            upstream.extend(release.granted.into_iter().map(|grant| sent(grant.item)));
        }
    }
}

/// Returns the mean payoff of alerts and of sweeps: the square of the share of shards that answered in time.
fn replay(policy: Policy) -> [f64; 2] {
    let arrivals = arrivals(PATIENT, SWEEP);
    let mut answered = vec![0; arrivals.len()];
    for shard in 0..SHARDS {
        replay_shard(shard as u64, &arrivals, policy, &mut answered);
    }
    [0, 1].map(|kind| {
        let of_kind = arrivals
            .iter()
            .zip(&answered)
            .filter(|(arrival, _)| arrival.kind == kind);
        let payoffs = of_kind.map(|(_, count)| (*count as f64 / SHARDS as f64).powi(2));
        let payoffs: Vec<f64> = payoffs.collect();
        payoffs.iter().sum::<f64>() / payoffs.len() as f64
    })
}

#[test]
fn urgent_kind_gains() {
    let [alerts_before, sweeps_before] = replay(Policy::Arrival);
    let [alerts_ranked, sweeps_ranked] = replay(Policy::Priority);
    let [alerts, sweeps] = replay(Policy::Window);
    println!("alerts {alerts_before:.3} {alerts_ranked:.3} {alerts:.3}");
    println!("sweeps {sweeps_before:.3} {sweeps_ranked:.3} {sweeps:.3}");
    assert!(alerts_ranked > alerts_before);
    assert!(alerts > alerts_ranked);
    assert!(sweeps_ranked > sweeps_before - 0.01);
    assert!(sweeps > sweeps_before - 0.01);
}

/// Returns how many alerts one upstream answers within their target, and the numbers of patient look-ups that it answers at
/// all and that arrive, if all kinds share it.
fn replay_shared(policy: Policy) -> [usize; 3] {
    let arrivals = arrivals(KINDS.len(), PATIENT);
    let mut answered = vec![0; arrivals.len()];
    replay_shard(1, &arrivals, policy, &mut answered);
    let count = |kind: usize| {
        let of_kind = arrivals
            .iter()
            .zip(&answered)
            .filter(|(arrival, _)| arrival.kind == kind);
        of_kind.map(|(_, count)| count).sum()
    };
    let patient = arrivals.iter().filter(|arrival| arrival.kind == PATIENT);
    [count(0), count(PATIENT), patient.count()]
}

/// Guards against patient requests that starve or are dropped behind the others during a burst of their own.
#[test]
fn patient_kind_served() {
    let before = replay_shared(Policy::Arrival);
    let after = replay_shared(Policy::Window);
    println!("alerts in time, patient answered, patient: {before:?} {after:?}");
    assert!(after[0] > before[0]);
    assert_eq!(after[1], after[2]);
}
