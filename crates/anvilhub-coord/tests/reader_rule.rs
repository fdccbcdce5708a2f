//! Guards against too many readers of the platform, and against instances that follow a member, or relay requests to
//! one, that has ended or cannot reach the platform.

use anvilhub_coord::fleet::{FeedRole, FleetTable, MemberGossip, MemberInfo, ReaderRule};
use anvilhub_coord::time::ClockTime;

use crate::member_info::member_info;

fn build_table(own: MemberInfo, members: &[MemberInfo]) -> FleetTable {
    let mut table = FleetTable::new(own);
    for member in members {
        table.record_contact(at(0), member.clone());
    }
    table
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// Returns the id of the reader that the owner of the table follows, or its own id if it reads itself.
fn choose_reader(table: &FleetTable, millis: u64) -> String {
    match ReaderRule::default().choose_role(table, at(millis), |_| 0) {
        FeedRole::Reader => table.own_info().instance.to_string(),
        FeedRole::Follower(reader) => reader.instance.to_string(),
    }
}

/// With 26 instances in each of three failure domains that all need the same changes, one instance per domain reads.
#[test]
fn single_domain_reader() {
    let size = |index| if index < 2 { 0.5 } else { 0.12 };
    let fleet: Vec<MemberInfo> = (0..78)
        .map(|index| {
            member_info(
                &format!("i-{index:02}"),
                &format!("d-{}", index % 3),
                size(index / 3),
            )
        })
        .collect();
    let readers: Vec<String> = fleet
        .iter()
        .filter(|own| {
            let members: Vec<_> = fleet
                .iter()
                .filter(|member| member.instance != own.instance)
                .cloned()
                .collect();
            choose_reader(&build_table((*own).clone(), &members), 10) == own.instance.as_str()
        })
        .map(|own| own.instance.to_string())
        .collect();
    assert_eq!(readers, ["i-00", "i-01", "i-02"]);
}

#[test]
fn lone_instance_reads() {
    assert_eq!(
        choose_reader(&build_table(member_info("a", "d-1", 0.5), &[]), 0),
        "a"
    );
}

/// A reader that does not answer is replaced at once: the next largest instance of the domain reads, and the others
/// follow it.
#[test]
fn silent_reader_replaced() {
    let (large, middle, small) = (
        member_info("a", "d-1", 0.5),
        member_info("b", "d-1", 0.4),
        member_info("c", "d-1", 0.1),
    );
    let mut small_table = build_table(small.clone(), &[large.clone(), middle.clone()]);
    assert_eq!(choose_reader(&small_table, 10), "a");
    small_table.mark_suspect(at(20), &large.instance);
    assert_eq!(choose_reader(&small_table, 30), "b");
    let mut middle_table = build_table(middle, &[large.clone(), small]);
    assert_eq!(choose_reader(&middle_table, 10), "a");
    middle_table.mark_suspect(at(20), &large.instance);
    assert_eq!(choose_reader(&middle_table, 30), "b");
    // The suspect reader is followed again after a second, since it may only have been busy.
    assert_eq!(choose_reader(&middle_table, 1_100), "a");
}

/// If the platform serves some instances and refuses others, a refused instance follows a reader that is served, in
/// another failure domain if necessary. It reads itself if no other instance is served.
#[test]
fn refused_reader_follows() {
    let own = member_info("c", "d-1", 0.1);
    let largest = member_info("a", "d-1", 0.5);
    let next = member_info("n", "d-1", 0.4);
    let remote = member_info("b", "d-2", 0.5);
    let mut small_table = build_table(own, &[largest.clone(), next.clone(), remote.clone()]);
    small_table.mark_platform_unreachable(at(10), &largest.instance);
    assert_eq!(choose_reader(&small_table, 20), "n");
    small_table.mark_platform_unreachable(at(10), &next.instance);
    assert_eq!(choose_reader(&small_table, 20), "b");
    small_table.mark_platform_unreachable(at(10), &remote.instance);
    assert_eq!(choose_reader(&small_table, 20), "c");

    let mut largest_table = build_table(largest, &[remote]);
    assert_eq!(choose_reader(&largest_table, 10), "a");
    largest_table.mark_own_platform_unreachable(at(10));
    assert_eq!(choose_reader(&largest_table, 20), "b");
    assert_eq!(choose_reader(&largest_table, 1_100), "a");
}

#[test]
fn leaving_reader_ignored() {
    let mut leaving = member_info("a", "d-1", 0.5);
    leaving.is_leaving = true;
    let table = build_table(member_info("c", "d-1", 0.1), &[leaving]);
    assert_eq!(choose_reader(&table, 10), "c");
}

/// A member that has sent nothing for seconds may have ended, so it is no longer followed.
#[test]
fn outdated_reader_ignored() {
    let table = build_table(
        member_info("c", "d-1", 0.1),
        &[member_info("a", "d-1", 0.5)],
    );
    assert_eq!(choose_reader(&table, 3_900), "a");
    assert_eq!(choose_reader(&table, 4_100), "c");
}

/// Requests are relayed only to members that were heard from recently, since a request that waits for a dead relay is
/// late.
#[test]
fn outdated_relay_excluded() {
    let table = build_table(
        member_info("c", "d-1", 0.1),
        &[member_info("a", "d-1", 0.5), member_info("b", "d-2", 0.5)],
    );
    let relays = |millis| table.relay_candidates(at(millis)).count();
    assert_eq!([relays(1_500), relays(2_000), relays(4_100)], [2, 1, 0]);
}

/// Gossip keeps the age of the information, so that instances cannot keep a dead member alive by telling each other
/// about it.
#[test]
fn gossip_keeps_age() {
    let dead = member_info("a", "d-1", 0.5);
    let mut first = build_table(member_info("b", "d-1", 0.1), &[dead]);
    let mut second = build_table(member_info("c", "d-2", 0.1), &[]);
    for step in 1..20 {
        let now = at(step * 1_000);
        for gossip in first.collect_gossip(now) {
            second.record_gossip(now, gossip);
        }
        for gossip in second.collect_gossip(now) {
            first.record_gossip(now, gossip);
        }
    }
    let names: Vec<String> = second
        .collect_gossip(at(20_000))
        .iter()
        .map(|gossip| gossip.info.instance.to_string())
        .collect();
    assert_eq!(names, ["c", "b"]);
}

/// A table keeps only the largest members of each domain, however many there are.
#[test]
fn table_stays_small() {
    let mut table = FleetTable::new(member_info("z", "d-1", 0.1));
    for index in 0..1_900_u32 {
        let cores = 0.1 + f64::from(index % 19) / 20.0;
        let info = member_info(&format!("i-{index}"), &format!("d-{}", index % 4), cores);
        table.record_gossip(at(0), MemberGossip { info, age_ms: 0 });
    }
    let members = table.collect_gossip(at(1));
    assert_eq!(members.len(), 1 + 4 * 8);
    assert!(
        members[1..]
            .iter()
            .all(|gossip| gossip.info.cores.get() > 0.9)
    );
}
