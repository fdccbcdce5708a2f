//! When an upstream that is missing from the list counts as gone.

use anvilhub_coord::gateway::RemovalRule;
use anvilhub_coord::time::ClockTime;

#[test]
fn missing_one_is_gone_at_once() {
    let now = ClockTime::from_millis(9_000);
    assert_eq!(RemovalRule::default().gone_at(now), now);
}

/// Entries of live upstreams lapse while the store is away, and come back within two seconds of its return.
#[test]
fn lapsed_one_stays_for_a_while() {
    let mut rule = RemovalRule::default();
    rule.store_away(ClockTime::from_millis(9_000));
    let found = ClockTime::from_millis(9_500);
    assert_eq!(rule.gone_at(found), ClockTime::from_millis(11_000));
    let later = ClockTime::from_millis(20_000);
    assert_eq!(rule.gone_at(later), later);
}
