//! Which instance gathers the parts of a request for a smaller one.

use std::collections::BTreeMap;

use anvilhub_coord::fleet::{MemberInfo, RelayRule};

use crate::member_notes::note;

fn chosen<'a>(own: &MemberInfo, members: &'a [MemberInfo], random: f64) -> Option<&'a str> {
    let chosen = RelayRule::default().choose(own, members.iter(), random);
    chosen.map(|note| note.instance.as_str())
}

/// The load of a hundred parts a request on instances with an eighth of a core, beside a few with half of one.
#[test]
fn larger_one_gathers() {
    assert!(RelayRule::default().wants(90));
    let members = [
        note("a", "d-1", 0.12),
        note("b", "d-1", 0.5),
        note("c", "d-2", 0.5),
    ];
    let own = note("o", "d-1", 0.12);
    for random in [0.0, 0.5, 0.999] {
        assert_eq!(chosen(&own, &members, random), Some("b"));
    }
}

#[test]
fn equal_ones_gather_themselves() {
    let members = [note("a", "d-1", 0.25), note("b", "d-2", 0.3)];
    assert_eq!(chosen(&note("o", "d-1", 0.25), &members, 0.5), None);
}

#[test]
fn few_parts_are_sent_at_once() {
    assert!(!RelayRule::default().wants(1));
}

#[test]
fn other_domain_helps_when_near_ones_are_gone() {
    let mut leaving = note("b", "d-1", 0.5);
    leaving.is_leaving = true;
    let members = [leaving, note("c", "d-2", 0.5)];
    assert_eq!(chosen(&note("o", "d-1", 0.12), &members, 0.5), Some("c"));
}

/// Requests spread over the relays by their size.
#[test]
fn larger_relays_take_more() {
    let members = [note("a", "d-1", 0.5), note("b", "d-1", 1.5)];
    let own = note("o", "d-1", 0.1);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for step in 0..1_000 {
        let relay = chosen(&own, &members, f64::from(step) / 1_000.0).expect("there are two");
        *counts.entry(relay).or_default() += 1;
    }
    assert_eq!(counts["a"] * 3, counts["b"]);
}
