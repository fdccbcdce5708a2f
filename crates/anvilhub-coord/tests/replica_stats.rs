//! Guards against costs that hide a slow, paused, full or failing upstream, or that avoid an upstream after it has
//! recovered.

use std::time::Duration;

use anvilhub_coord::gateway::{FailureKind, ReplicaStats, SlotLoad};
use anvilhub_coord::time::ClockTime;

const TYPICAL_LATENCY: Duration = Duration::from_millis(10);
const SLOTS: u32 = 2;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn cost(stats: &ReplicaStats, now_ms: u64) -> f64 {
    stats.cost(at(now_ms), TYPICAL_LATENCY, SLOTS)
}

/// Records one attempt every 20 ms, each answered `latency_ms` after it was sent.
fn record_answers(stats: &mut ReplicaStats, from_ms: u64, count: u64, latency_ms: u64) {
    for index in 0..count {
        let sent_at = at(from_ms + index * 20);
        stats.record_send(sent_at);
        stats.record_answer(
            sent_at + Duration::from_millis(latency_ms),
            sent_at,
            TYPICAL_LATENCY,
        );
    }
}

/// An upstream ten times slower than others is avoided after a few answers, and used again later.
#[test]
fn slow_replica_avoided() {
    let (mut slow, mut typical) = (ReplicaStats::default(), ReplicaStats::default());
    record_answers(&mut slow, 0, 4, 100);
    record_answers(&mut typical, 0, 4, 10);
    assert!(cost(&slow, 200) > 3.0 * cost(&typical, 200));
    assert!(cost(&slow, 30_000) < 1.2 * cost(&typical, 30_000));
}

/// An unanswered attempt raises the cost of a paused upstream long before the attempt times out.
#[test]
fn pause_raises_cost() {
    let mut paused = ReplicaStats::default();
    record_answers(&mut paused, 0, 10, 10);
    paused.record_send(at(1_000));
    assert!(cost(&paused, 1_010) < 2.0);
    assert!(cost(&paused, 1_040) > 4.0);
}

/// Upstreams that refuse some of their requests while reporting a low load are avoided in favour of others.
#[test]
fn shedding_replica_avoided() {
    let (mut shedding, mut healthy) = (ReplicaStats::default(), ReplicaStats::default());
    for index in 0..10 {
        let sent_at = at(index * 20);
        shedding.record_send(sent_at);
        match index % 5 {
            0 | 1 => assert!(!shedding.record_answer(
                sent_at + TYPICAL_LATENCY,
                sent_at,
                TYPICAL_LATENCY
            )),
            _ => shedding.record_refusal(sent_at + Duration::from_millis(1), sent_at),
        }
    }
    record_answers(&mut healthy, 0, 10, 10);
    assert!(cost(&shedding, 210) > 1.5 + cost(&healthy, 210));
    assert!(!shedding.is_cooling_down(at(210)));
}

#[test]
fn reported_queue_expires() {
    let mut stats = ReplicaStats::default();
    let load = SlotLoad {
        running: 2,
        waiting: 6,
        slots: 2,
        slowdown: 1.0,
    };
    stats.record_load(at(0), load);
    assert!(cost(&stats, 5) > 3.0);
    assert!(cost(&stats, 200) < 1.1);
}

#[test]
fn failures_start_cooldown() {
    let mut stats = ReplicaStats::default();
    for index in 0..3 {
        stats.record_send(at(index));
        let cooldown = stats.record_failure(at(index), at(index), FailureKind::Broken);
        assert_eq!(cooldown.is_some(), index == 2);
    }
    assert!(stats.is_cooling_down(at(10)));
    assert!(!stats.is_cooling_down(at(1_000)));
    assert!(stats.is_suspect());
    record_answers(&mut stats, 1_000, 1, 10);
    assert!(!stats.is_suspect());
}

/// Guards against hedges to upstreams without a free slot, which lengthen the queues that caused the delay.
#[test]
fn queue_counts_rounds() {
    let mut stats = ReplicaStats::default();
    stats.record_send(at(0));
    assert_eq!(stats.queue_rounds(at(1), SLOTS), 0.0);
    stats.record_send(at(1));
    stats.record_send(at(2));
    assert_eq!(stats.queue_rounds(at(3), SLOTS), 1.0);
}
