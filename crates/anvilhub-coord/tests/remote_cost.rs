//! Replays choices between an upstream at home and one in another failure domain for routes with typical latencies of 7,
//! 20 and 160 ms: guards against leaving too late for slow routes, too early for large answers, and otherwise than before
//! without a price.

use std::time::Duration;

use anvilhub_coord::gateway::{
    OpeningTime, RankedReplica, RemoteCost, ReplicaRanker, ReplicaStats, SlotLoad,
};
use anvilhub_coord::ids::{ByteSize, TransferPrice};
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 42;
const SLOTS: u32 = 2;
/// Two one-way latencies of 1.4 ms, less two of 0.2 ms at home.
const EXTRA_ROUND_TRIP: Duration = Duration::from_micros(2_400);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(cost: f64, remote_cost: Option<f64>) -> RankedReplica {
    RankedReplica {
        cost,
        queue_rounds: 0.0,
        is_limited: false,
        is_cooling_down: false,
        is_leaving: false,
        is_local: remote_cost.is_none(),
        is_overdue: false,
        remote_cost,
        answer_age: None,
        is_excluded: false,
    }
}

/// Returns the cost of leaving, in typical latencies, at 2 ms for each KiB.
fn remote_cost(typical_ms: u64, answer_bytes: u64) -> f64 {
    let price = TransferPrice(2.0);
    let cost = RemoteCost {
        extra_round_trip: EXTRA_ROUND_TRIP,
        transfer_time: RemoteCost::transfer_time(ByteSize(400), ByteSize(answer_bytes), price),
    };
    cost.in_latencies(millis(typical_ms))
}

/// Returns the smallest delay at home, in milliseconds, from which every attempt leaves.
fn leaving_delay_ms(typical_ms: u64, remote_cost: f64) -> u64 {
    let leaves = |delay_ms: &u64| {
        let local_cost = 1.0 + *delay_ms as f64 / typical_ms as f64;
        let candidates = [replica(local_cost, None), replica(1.0, Some(remote_cost))];
        let mut draws = [0.0, 1.0].into_iter();
        let next = || draws.next().expect("one draw for each candidate");
        ReplicaRanker::default().choose(&candidates, false, next) == Some(1)
    };
    (0..2_000).find(leaves).expect("a delay is long enough")
}

/// A look-up of 160 ms left its domain only to save 256 ms.
#[test]
fn slow_routes_leave() {
    for (typical_ms, max_delay_ms) in [(7, 9), (20, 14), (160, 72)] {
        let delay_ms = leaving_delay_ms(typical_ms, remote_cost(typical_ms, 500));
        println!("typical {typical_ms} ms: leaves for {delay_ms} ms");
        assert!(delay_ms <= max_delay_ms, "{typical_ms}: {delay_ms}");
    }
}

#[test]
fn small_answers_leave() {
    let delay_ms = |answer_bytes| leaving_delay_ms(20, remote_cost(20, answer_bytes));
    assert!(delay_ms(100) < delay_ms(10_000));
}

/// Without a saving, the random term must not send an attempt away, whatever it is.
#[test]
fn jitter_stays_local() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let candidates = [replica(1.0, None), replica(1.0, Some(0.0))];
    for _ in 0..10_000 {
        let chosen = ReplicaRanker::default().choose(&candidates, false, || random.random());
        assert_eq!(chosen, Some(0), "seed {SEED}");
    }
}

/// Without a price, the choices must be those of the constant cost of 1.6 typical latencies.
#[test]
fn default_choices_kept() {
    let mut random = SmallRng::seed_from_u64(SEED);
    for _ in 0..10_000 {
        let candidates: Vec<_> = (0..6)
            .map(|index| RankedReplica {
                is_local: index < 3,
                is_overdue: random.random(),
                ..replica(random.random::<f64>() * 5.0, None)
            })
            .collect();
        let draws: Vec<f64> = (0..6).map(|_| random.random()).collect();
        let cost = |index: &usize| {
            let constant = if *index < 3 { 0.0 } else { 1.6 };
            candidates[*index].cost + (constant + 0.2 * draws[*index])
        };
        let expected = (0..6).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let mut rest = draws.iter().copied();
        let next = || rest.next().expect("one draw for each candidate");
        let chosen = ReplicaRanker::default().choose(&candidates, false, next);
        assert_eq!(chosen, expected, "seed {SEED}");
    }
}

/// A shard whose only local copy owes an overdue answer must leave for the former constant, even if its bytes cost more.
#[test]
fn paused_copy_left() {
    let mut paused = ReplicaStats::default();
    let start = ClockTime::from_millis(1_000);
    let load = SlotLoad {
        running: 2,
        waiting: 4,
        slots: SLOTS,
        slowdown: 1.0,
    };
    paused.record_load(start, load);
    paused.record_send(start);
    let choose_after = |delay: Duration| {
        let now = start + delay;
        let local = RankedReplica {
            is_overdue: paused.is_overdue(now, millis(20), SLOTS),
            ..replica(paused.cost(now, millis(20), SLOTS), None)
        };
        ReplicaRanker::default().choose(&[local, replica(1.0, Some(10.0))], false, || 0.0)
    };
    // The reported queue explains a wait of three rounds, and of less when the report grows old.
    assert_eq!(choose_after(millis(70)), Some(0));
    assert_eq!(choose_after(millis(150)), Some(1));
}

/// A busy instance opens most connections late, and a distance may grow.
#[test]
fn distance_measured() {
    let (mut home, mut away) = (OpeningTime::default(), OpeningTime::default());
    assert_eq!(away.extra_round_trip(&home), None);
    for (second, delay_us) in [9_000, 0, 40_000, 3_000].into_iter().enumerate() {
        let now = ClockTime::from_millis(second as u64 * 1_000);
        home.record(now, Duration::from_micros(400 + delay_us));
        away.record(now, Duration::from_micros(2_800 + delay_us));
    }
    assert_eq!(away.extra_round_trip(&home), Some(EXTRA_ROUND_TRIP));
    for second in [61, 122, 183] {
        away.record(ClockTime::from_millis(second * 1_000), millis(5));
    }
    let grown = Duration::from_micros(4_600);
    assert_eq!(away.extra_round_trip(&home), Some(grown));
}
