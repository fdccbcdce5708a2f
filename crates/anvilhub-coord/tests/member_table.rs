//! Guards against a lagging instance list that sends work to instances that have ended, or hides running ones.

use std::time::Duration;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::configuration::PeerIdentity;
use anvilhub_coord::ids::{Incarnation, InstanceId, PlatformRevision};
use anvilhub_coord::membership::{MemberState, MemberTable};
use anvilhub_coord::time::ClockTime;

use crate::fleet_simulation::id;

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(seconds * 1_000)
}

fn list(revision: u64, members: &[(&str, InstanceState)]) -> InstanceList {
    let instance = |(name, state): &(&str, InstanceState)| InstanceEntry {
        address: "127.0.0.1:7301".to_owned(),
        id: id(name),
        operator_address: None,
        peer_address: Some("127.0.0.1:7401".to_owned()),
        role: InstanceRole::Entry,
        state: *state,
    };
    InstanceList {
        instances: members.iter().map(instance).collect(),
        revision: PlatformRevision(revision),
    }
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        instance: id(name),
        incarnation: Incarnation(1),
        peer_address: "127.0.0.1:7402".parse().unwrap(),
        failure_domain: "domain-b".parse().unwrap(),
    }
}

fn live_members(table: &MemberTable, now: ClockTime) -> Vec<InstanceId> {
    table.live_members(now).cloned().collect()
}

const LIVE: InstanceState = InstanceState::Live;

#[test]
fn evidence_overrides_list() {
    let mut table = MemberTable::new(id("a"), []);
    table.apply_list(&list(5, &[("a", LIVE), ("b", LIVE), ("c", LIVE)]), at(1));
    assert_eq!(live_members(&table, at(1)), [id("b"), id("c")]);

    table.record_refusal(&id("b"), at(2));
    table.record_timeout(&id("c"), at(2));
    assert_eq!(table.state(&id("b"), at(2)), MemberState::Absent);
    assert_eq!(table.state(&id("c"), at(2)), MemberState::Silent);
    // The list still names both. Both stay gossip peers, since only a contact shows that a peer is reachable again.
    table.apply_list(&list(6, &[("b", LIVE), ("c", LIVE)]), at(3));
    assert_eq!(live_members(&table, at(3)), []);
    assert_eq!(table.peers().count(), 2);

    table.record_answer(&identity("b"), false, at(4));
    table.record_answer(&identity("c"), true, at(4));
    assert_eq!(live_members(&table, at(4)), [id("b")]);
    assert_eq!(table.state(&id("c"), at(4)), MemberState::Leaving);
}

#[test]
fn unlisted_instance_expires() {
    let mut table = MemberTable::new(id("a"), []);
    table.apply_list(&list(5, &[("b", LIVE)]), at(1));
    table.record_answer(&identity("d"), false, at(2));
    assert_eq!(live_members(&table, at(3)), [id("b"), id("d")]);
    assert_eq!(table.state(&id("d"), at(60)), MemberState::Absent);
    // A starting instance waits only for listed peers.
    assert_eq!(table.expected_peers(), Some([id("b")].into()));
}

#[test]
fn leaving_state_remains() {
    let mut table = MemberTable::new(id("a"), []);
    table.apply_list(&list(5, &[("b", InstanceState::Leaving)]), at(1));
    table.record_answer(&identity("b"), false, at(2));
    assert_eq!(table.state(&id("b"), at(2)), MemberState::Leaving);
}

#[test]
fn lower_revision_delayed() {
    let mut table = MemberTable::new(id("a"), []);
    table.apply_list(&list(9, &[("b", LIVE)]), at(1));
    table.apply_list(&list(3, &[("old", LIVE)]), at(2));
    assert_eq!(live_members(&table, at(2)), [id("b")]);
    assert_eq!(table.list_age(at(10)), Some(Duration::from_secs(9)));
    // A platform that lost its data serves low revisions from then on: its list is accepted after the delay.
    table.apply_list(&list(4, &[("c", LIVE)]), at(40));
    assert_eq!(live_members(&table, at(40)), [id("c")]);
}

#[test]
fn unusable_address_skipped() {
    let mut table = MemberTable::new(id("a"), []);
    assert_eq!(table.expected_peers(), None);
    let mut unusable = list(1, &[("b", LIVE)]);
    unusable.instances[0].peer_address = Some("peer.example:7401".to_owned());
    assert_eq!(table.apply_list(&unusable, at(1)), [id("b")]);
    assert_eq!(table.expected_peers(), Some([].into()));
}
