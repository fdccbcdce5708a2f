//! Guards against expired items that are sent, and against urgent items that wait behind others.

use std::time::Duration;

use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::{SlotAllowance, SlotDecision, SlotQueue};
use anvilhub_coord::sheet::UrgencyClass::{Deferred, Standard, Urgent};
use anvilhub_coord::time::ClockTime;

const LATE: ClockTime = ClockTime(900_000);

fn create_busy_queue(capacity: usize) -> SlotQueue<&'static str> {
    let mut queue = SlotQueue::new(SlotCount(1), capacity, Duration::from_millis(5));
    let decision = queue.offer(ClockTime(0), Standard, LATE, "running");
    assert_eq!(decision, SlotDecision::Start("running"));
    queue
}

#[test]
fn expired_never_sent() {
    let mut queue = create_busy_queue(8);
    queue.offer(ClockTime(0), Urgent, ClockTime::from_millis(20), "soon");
    queue.offer(ClockTime(0), Deferred, LATE, "late");

    let release = queue.release_slot(ClockTime::from_millis(16));

    assert_eq!(release.to_start, ["late"]);
    assert_eq!(release.expired, ["soon"]);
    let decision = queue.offer(LATE, Urgent, LATE, "past");
    assert_eq!(decision, SlotDecision::Expired("past"));
}

#[test]
fn most_urgent_first() {
    let mut queue = create_busy_queue(8);
    queue.offer(ClockTime(0), Deferred, ClockTime(100_000), "deferred");
    queue.offer(ClockTime(0), Urgent, LATE, "urgent late");
    queue.offer(ClockTime(0), Urgent, ClockTime(800_000), "urgent soon");

    let order: Vec<_> = (0..3)
        .flat_map(|_| queue.release_slot(ClockTime(0)).to_start)
        .collect();

    assert_eq!(order, ["urgent soon", "urgent late", "deferred"]);
}

#[test]
fn least_urgent_displaced() {
    let mut queue = create_busy_queue(1);
    assert_eq!(
        queue.offer(ClockTime(0), Standard, LATE, "first"),
        SlotDecision::Queued
    );

    let decision = queue.offer(ClockTime(0), Deferred, LATE, "deferred");
    assert_eq!(decision, SlotDecision::Full("deferred"));
    let decision = queue.offer(ClockTime(0), Urgent, LATE, "urgent");
    assert_eq!(decision, SlotDecision::Displaced("first"));
}

#[test]
fn hedge_needs_slot() {
    let mut queue = create_busy_queue(8);
    assert!(!queue.try_occupy_slot());
    queue.set_slots(ClockTime(0), SlotCount(2));
    assert!(queue.try_occupy_slot());
    assert_eq!(queue.busy_slots(), 2);
}

#[test]
fn allowance_follows_latency() {
    let allowance = SlotAllowance {
        max_round_trip: Duration::from_millis(3),
    };
    let max_in_flight = |millis| {
        allowance
            .max_in_flight(SlotCount(2), Duration::from_millis(millis))
            .get()
    };

    assert_eq!(max_in_flight(1), 4, "at most twice the slots");
    assert_eq!(max_in_flight(9), 3);
    assert_eq!(max_in_flight(3_000_000), 3, "rounded up");
    assert_eq!(
        allowance.max_in_flight(SlotCount(0), Duration::from_millis(9)),
        SlotCount(0)
    );
}
