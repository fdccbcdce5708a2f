//! Guards against instances that open connections to all upstreams before they know what the fleet needs of them.

use std::time::Duration;

use anvilhub_coord::fleet::SettlingRule;

const SHORTLY: Duration = Duration::from_millis(300);

/// All instances start at once, so that nobody can say who the members are. They wait, but not for ever: the seeds may
/// all be dead.
#[test]
fn cold_fleet_waits() {
    let rule = SettlingRule::default();
    assert!(!rule.is_settled(true, false, SHORTLY));
    assert!(rule.is_settled(true, false, rule.settling_time));
}

/// An instance that restarts in a running fleet knows the members from its first exchange.
#[test]
fn running_fleet_joined() {
    assert!(SettlingRule::default().is_settled(true, true, SHORTLY));
}

#[test]
fn single_instance_settled() {
    assert!(SettlingRule::default().is_settled(false, false, SHORTLY));
}
