//! Guards against sub-requests that wait for an owner which is gone.

use std::time::Duration;

use anvilhub_coord::routing::OwnerHealth;
use anvilhub_coord::time::ClockTime;

#[test]
fn silent_owner_bypassed() {
    let mut health = OwnerHealth::default();
    health.sent(ClockTime(0));
    assert!(!health.is_bypassed(ClockTime::from_millis(20)));
    assert!(health.is_bypassed(ClockTime::from_millis(30)));

    health.given_up(ClockTime::from_millis(30));
    assert!(health.is_bypassed(ClockTime::from_millis(500)));
    assert!(!health.is_bypassed(ClockTime::from_millis(600)));
}

#[test]
fn busy_owner_kept() {
    let mut health = OwnerHealth::default();
    for step in 0..20 {
        health.sent(ClockTime(0) + Duration::from_millis(step * 20));
        health.heard(ClockTime(0) + Duration::from_millis(step * 20 + 19), false);
        let now = ClockTime(0) + Duration::from_millis(step * 20 + 20);
        assert!(
            !health.is_bypassed(now),
            "an owner that answers others is alive"
        );
    }
}
