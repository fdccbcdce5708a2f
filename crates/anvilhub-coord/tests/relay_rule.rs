//! Guards against requests with many sub-requests that a small instance sends too slowly, and against relays that are
//! too small, are leaving or get more than their share.

use std::collections::BTreeMap;

use anvilhub_coord::fleet::{MemberInfo, RelayRule};

use crate::member_info::member_info;

fn choose<'a>(own: &MemberInfo, members: &'a [MemberInfo], random: f64) -> Option<&'a str> {
    let relay = RelayRule::default().choose(own, members.iter(), random);
    relay.map(|relay| relay.instance.as_str())
}

/// An instance with an eighth of a core relays requests with about a hundred sub-requests to one of the few instances
/// with half a core.
#[test]
fn larger_instance_gathers() {
    assert!(RelayRule::default().is_worthwhile(90));
    let members = [
        member_info("a", "d-1", 0.12),
        member_info("b", "d-1", 0.5),
        member_info("c", "d-2", 0.5),
    ];
    let own = member_info("o", "d-1", 0.12);
    for random in [0.0, 0.5, 0.999] {
        assert_eq!(choose(&own, &members, random), Some("b"));
    }
}

#[test]
fn equal_instances_excluded() {
    let members = [member_info("a", "d-1", 0.25), member_info("b", "d-2", 0.3)];
    assert_eq!(choose(&member_info("o", "d-1", 0.25), &members, 0.5), None);
}

#[test]
fn small_request_unrelayed() {
    assert!(!RelayRule::default().is_worthwhile(1));
}

#[test]
fn remote_relay_used() {
    let mut leaving = member_info("b", "d-1", 0.5);
    leaving.is_leaving = true;
    let members = [leaving, member_info("c", "d-2", 0.5)];
    let own = member_info("o", "d-1", 0.12);
    assert_eq!(choose(&own, &members, 0.5), Some("c"));
}

/// Requests are spread over the relays in proportion to their size.
#[test]
fn relay_choice_proportional() {
    let members = [member_info("a", "d-1", 0.5), member_info("b", "d-1", 1.5)];
    let own = member_info("o", "d-1", 0.1);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for step in 0..1_000 {
        let relay = choose(&own, &members, f64::from(step) / 1_000.0).expect("there are two");
        *counts.entry(relay).or_default() += 1;
    }
    assert_eq!(counts["a"] * 3, counts["b"]);
}
