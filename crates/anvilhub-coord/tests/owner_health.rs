//! Guards against sub-requests that wait for an owner that has failed, and against a bypass of an owner that is alive.

use std::time::Duration;

use anvilhub_coord::routing::OwnerHealth;
use anvilhub_coord::time::ClockTime;

#[test]
fn silent_owner_bypassed() {
    let mut health = OwnerHealth::default();
    health.record_send(ClockTime(0));
    assert!(!health.is_bypassed(ClockTime::from_millis(20)));
    assert!(health.is_bypassed(ClockTime::from_millis(30)));

    health.record_failure();
    assert!(health.is_bypassed(ClockTime::from_millis(500)));
    assert!(
        health.is_bypassed(ClockTime::from_millis(60_000)),
        "no sub-request is sent to an owner that has not responded"
    );
    health.record_message(ClockTime::from_millis(60_001), false);
    assert!(!health.is_bypassed(ClockTime::from_millis(60_002)));
}

/// Guards against a bypass that never ends because of missing pings, and against the load of one ping per
/// sub-request.
#[test]
fn bypassed_owner_pinged() {
    let mut health = OwnerHealth::default();
    assert!(
        !health.begin_ping(ClockTime(0)),
        "no message to the owner is outstanding"
    );
    health.record_send(ClockTime(0));
    let pings_until = |health: &mut OwnerHealth, from: u64, to: u64| {
        (from..to)
            .filter(|&millis| health.begin_ping(ClockTime::from_millis(millis)))
            .count()
    };
    assert_eq!(pings_until(&mut health, 0, 10), 0);
    assert_eq!(pings_until(&mut health, 10, 30), 2);
    health.record_failure();
    assert_eq!(pings_until(&mut health, 30, 1_030), 10);
}

#[test]
fn busy_owner_used() {
    let mut health = OwnerHealth::default();
    for step in 0..20 {
        health.record_send(ClockTime(0) + Duration::from_millis(step * 20));
        health.record_message(ClockTime(0) + Duration::from_millis(step * 20 + 19), false);
        let now = ClockTime(0) + Duration::from_millis(step * 20 + 20);
        assert!(
            !health.is_bypassed(now),
            "an owner that sends other messages is alive"
        );
    }
}
