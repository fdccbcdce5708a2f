//! Guards against requests with many sub-requests that a small instance sends too slowly, and against relays that are
//! too small, are leaving or get more than their share.

use std::collections::BTreeMap;

use anvilhub_coord::fleet::{DomainShares, MemberInfo, RelayRule};
use anvilhub_coord::ids::FailureDomain;

use crate::member_info::member_info;

fn choose<'a>(own: &MemberInfo, members: &'a [MemberInfo], random: f64) -> Option<&'a str> {
    choose_with_shares(own, members, &DomainShares::default(), random)
}

fn choose_with_shares<'a>(
    own: &MemberInfo,
    members: &'a [MemberInfo],
    shares: &DomainShares,
    random: f64,
) -> Option<&'a str> {
    let relay = RelayRule::default().choose(own, members.iter(), shares, random);
    relay.map(|relay| relay.instance.as_str())
}

/// Returns the shares of 100 shards, of which the given numbers have two upstreams in a failure domain.
fn build_shares(counts: &[(&str, usize)]) -> DomainShares {
    let domains: Vec<(FailureDomain, usize)> = counts
        .iter()
        .map(|(domain, count)| (domain.parse().expect("a valid name"), *count))
        .collect();
    DomainShares::of_shards((0..100).map(|shard| {
        let with_upstream = domains.iter().filter(move |(_, count)| shard < *count);
        with_upstream.flat_map(|(domain, _)| [domain, domain])
    }))
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

/// Each shard has its upstreams in two of three failure domains. From the third one, hundreds of sub-requests and their
/// answers would cross, so the relays there are left alone.
#[test]
fn relay_beside_upstreams() {
    let members = [
        member_info("a", "d-1", 0.5),
        member_info("b", "d-2", 0.5),
        member_info("c", "d-3", 0.5),
    ];
    let shares = build_shares(&[("d-1", 100), ("d-2", 97)]);
    let remote = member_info("o", "d-3", 0.12);
    let choices = [0.1, 0.9].map(|random| choose_with_shares(&remote, &members, &shares, random));
    assert_eq!(choices, [Some("a"), Some("b")]);
    let local = member_info("o", "d-2", 0.12);
    for random in [0.1, 0.9] {
        let choice = choose_with_shares(&local, &members, &shares, random);
        assert_eq!(
            choice,
            Some("b"),
            "a domain with a few upstreams less is no worse"
        );
    }
}

/// If the upstreams are spread over all failure domains, a request stays in its own one.
#[test]
fn spread_upstreams_local() {
    let members = [member_info("a", "d-1", 0.5), member_info("b", "d-2", 0.5)];
    let shares = build_shares(&[("d-1", 80), ("d-2", 40)]);
    let own = member_info("o", "d-2", 0.12);
    assert_eq!(choose_with_shares(&own, &members, &shares, 0.1), Some("b"));
}

/// No relay is known in the domains of the upstreams: those elsewhere are still faster than the small instance.
#[test]
fn relay_without_upstreams() {
    let members = [member_info("b", "d-2", 0.5)];
    let shares = build_shares(&[("d-1", 100)]);
    let own = member_info("o", "d-2", 0.12);
    assert_eq!(choose_with_shares(&own, &members, &shares, 0.1), Some("b"));
}

/// An instance that reaches no upstream takes any other one that does, whatever its size.
#[test]
fn helper_reaches_upstreams() {
    let small = member_info("small", "domain-a", 0.1);
    let cut_off = MemberInfo {
        is_cut_off: true,
        ..member_info("cut-off", "domain-a", 1.0)
    };
    let leaving = MemberInfo {
        is_leaving: true,
        ..member_info("leaving", "domain-b", 1.0)
    };
    for random in [0.0, 0.5, 1.0] {
        let members = [&cut_off, &small, &leaving].into_iter();
        let helper = RelayRule::default().choose_helper(members, random);
        assert_eq!(helper, Some(&small));
    }
    let helper = RelayRule::default().choose_helper([&cut_off].into_iter(), 0.5);
    assert_eq!(helper, None);
}
