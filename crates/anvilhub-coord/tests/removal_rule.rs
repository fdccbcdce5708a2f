//! Guards against live upstreams that count as removed because their records expired while the store was unreachable.

use anvilhub_coord::gateway::RemovalRule;
use anvilhub_coord::time::ClockTime;

#[test]
fn missing_upstream_removed() {
    let now = ClockTime::from_millis(9_000);
    assert_eq!(RemovalRule::default().removal_time(now), now);
}

/// Records of live upstreams expire while the store is unreachable, and reappear within two seconds of its return.
#[test]
fn outage_delays_removal() {
    let mut rule = RemovalRule::default();
    rule.record_outage(ClockTime::from_millis(9_000));
    let found_at = ClockTime::from_millis(9_500);
    assert_eq!(rule.removal_time(found_at), ClockTime::from_millis(11_000));
    let later = ClockTime::from_millis(20_000);
    assert_eq!(rule.removal_time(later), later);
}
