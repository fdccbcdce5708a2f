//! What an instance believes about the speed and load of an upstream.

use std::time::Duration;

use anvilhub_coord::gateway::{FailureKind, ReplicaStats, SlotLoad};
use anvilhub_coord::time::ClockTime;

const USUAL: Duration = Duration::from_millis(10);
const SLOTS: u32 = 2;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn cost(gauge: &ReplicaStats, now: u64) -> f64 {
    gauge.cost(at(now), USUAL, SLOTS)
}

/// Sends and answers one attempt each 20 ms, `time` after sending.
fn serve(gauge: &mut ReplicaStats, from: u64, count: u64, time: u64) {
    for index in 0..count {
        let sent = at(from + index * 20);
        gauge.sent(sent);
        gauge.answered(sent + Duration::from_millis(time), sent, USUAL);
    }
}

/// An upstream that works ten times as long as others is avoided after a few answers, and tried again later.
#[test]
fn slow_one_is_avoided() {
    let (mut slow, mut usual) = (ReplicaStats::default(), ReplicaStats::default());
    serve(&mut slow, 0, 4, 100);
    serve(&mut usual, 0, 4, 10);
    assert!(cost(&slow, 200) > 3.0 * cost(&usual, 200));
    assert!(cost(&slow, 30_000) < 1.2 * cost(&usual, 30_000));
}

/// A pause shows in an attempt that waits, long before the attempt ends.
#[test]
fn pause_shows_at_once() {
    let mut paused = ReplicaStats::default();
    serve(&mut paused, 0, 10, 10);
    paused.sent(at(1_000));
    assert!(cost(&paused, 1_010) < 2.0);
    assert!(cost(&paused, 1_040) > 4.0);
}

/// Upstreams that refuse part of their requests, while their stated load is low, are avoided where others are not.
#[test]
fn shedding_one_is_avoided() {
    let (mut shedding, mut sound) = (ReplicaStats::default(), ReplicaStats::default());
    for index in 0..10 {
        let sent = at(index * 20);
        shedding.sent(sent);
        match index % 5 {
            0 | 1 => assert!(!shedding.answered(sent + USUAL, sent, USUAL)),
            _ => shedding.refused(sent + Duration::from_millis(1), sent),
        }
    }
    serve(&mut sound, 0, 10, 10);
    assert!(cost(&shedding, 210) > 1.5 + cost(&sound, 210));
    assert!(!shedding.is_resting(at(210)));
}

#[test]
fn stated_queue_counts_and_fades() {
    let mut gauge = ReplicaStats::default();
    let load = SlotLoad {
        running: 2,
        waiting: 6,
        slots: 2,
        slowdown: 1.0,
    };
    gauge.stated(at(0), load);
    assert!(cost(&gauge, 5) > 3.0);
    assert!(cost(&gauge, 200) < 1.1);
}

#[test]
fn failures_bring_rest() {
    let mut gauge = ReplicaStats::default();
    for index in 0..3 {
        gauge.sent(at(index));
        let rest = gauge.failed(at(index), at(index), FailureKind::Broken);
        assert_eq!(rest.is_some(), index == 2);
    }
    assert!(gauge.is_resting(at(10)));
    assert!(!gauge.is_resting(at(1_000)));
    assert!(gauge.is_doubtful());
    serve(&mut gauge, 1_000, 1, 10);
    assert!(!gauge.is_doubtful());
}

/// Hedges to upstreams whose slots were all taken lengthened the queues that had made them late.
#[test]
fn queue_counts_rounds() {
    let mut gauge = ReplicaStats::default();
    gauge.sent(at(0));
    assert_eq!(gauge.queue(at(1), SLOTS), 0.0);
    gauge.sent(at(1));
    gauge.sent(at(2));
    assert_eq!(gauge.queue(at(3), SLOTS), 1.0);
}
