//! Which instance reads the platform for the others.

use anvilhub_coord::fleet::{FeedRole, FleetTable, MemberGossip, MemberInfo, ReaderRule};
use anvilhub_coord::time::ClockTime;

use crate::member_notes::note;

fn table(own: MemberInfo, others: &[MemberInfo]) -> FleetTable {
    let mut table = FleetTable::new(own);
    for note in others {
        table.hear_member(at(0), note.clone());
    }
    table
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// The name of the reader that is followed; the own name for an instance that reads itself.
fn source(table: &FleetTable, millis: u64) -> String {
    match ReaderRule::default().role(table, at(millis), |_| 0) {
        FeedRole::Reader => table.own().instance.to_string(),
        FeedRole::Follower(note) => note.instance.to_string(),
    }
}

/// The load of 26 instances in each of three failure domains that all read the same changes: one of each domain does.
#[test]
fn one_of_each_domain_reads() {
    let size = |index| if index < 2 { 0.5 } else { 0.12 };
    let fleet: Vec<MemberInfo> = (0..78)
        .map(|index| {
            note(
                &format!("i-{index:02}"),
                &format!("d-{}", index % 3),
                size(index / 3),
            )
        })
        .collect();
    let readers: Vec<String> = fleet
        .iter()
        .filter(|own| {
            let others: Vec<_> = fleet
                .iter()
                .filter(|other| other.instance != own.instance)
                .cloned()
                .collect();
            source(&table((*own).clone(), &others), 10) == own.instance.as_str()
        })
        .map(|own| own.instance.to_string())
        .collect();
    assert_eq!(readers, ["i-00", "i-01", "i-02"]);
}

#[test]
fn lone_instance_reads() {
    assert_eq!(source(&table(note("a", "d-1", 0.5), &[]), 0), "a");
}

/// A silent reader is replaced at once: the next largest of the domain reads, and the others follow it.
#[test]
fn silent_reader_is_replaced() {
    let (large, middle, small) = (
        note("a", "d-1", 0.5),
        note("b", "d-1", 0.4),
        note("c", "d-1", 0.1),
    );
    let mut follower = table(small.clone(), &[large.clone(), middle.clone()]);
    assert_eq!(source(&follower, 10), "a");
    follower.doubt(at(20), &large.instance);
    assert_eq!(source(&follower, 30), "b");
    let mut next = table(middle, &[large.clone(), small]);
    assert_eq!(source(&next, 10), "a");
    next.doubt(at(20), &large.instance);
    assert_eq!(source(&next, 30), "b");
    // It is asked again after a while, since it may only have been busy.
    assert_eq!(source(&next, 1_100), "a");
}

/// The platform serves some instances and refuses others: those that are refused follow a reader that is served, if
/// need be in another failure domain, and read themselves when nobody is served.
#[test]
fn refused_readers_are_passed_by() {
    let own = note("c", "d-1", 0.1);
    let (near, next) = (note("a", "d-1", 0.5), note("n", "d-1", 0.4));
    let far = note("b", "d-2", 0.5);
    let mut known = table(own, &[near.clone(), next.clone(), far.clone()]);
    known.note_blind(at(10), &near.instance);
    assert_eq!(source(&known, 20), "n");
    known.note_blind(at(10), &next.instance);
    assert_eq!(source(&known, 20), "b");
    known.note_blind(at(10), &far.instance);
    assert_eq!(source(&known, 20), "c");

    let mut reader = table(near, &[far]);
    assert_eq!(source(&reader, 10), "a");
    reader.note_own_blind(at(10));
    assert_eq!(source(&reader, 20), "b");
    assert_eq!(source(&reader, 1_100), "a");
}

#[test]
fn leaving_reader_is_not_followed() {
    let mut leaving = note("a", "d-1", 0.5);
    leaving.is_leaving = true;
    assert_eq!(source(&table(note("c", "d-1", 0.1), &[leaving]), 10), "c");
}

/// A note that nobody has heard anew for seconds names an instance that may be gone.
#[test]
fn old_notes_are_not_used() {
    let known = table(note("c", "d-1", 0.1), &[note("a", "d-1", 0.5)]);
    assert_eq!(source(&known, 3_900), "a");
    assert_eq!(source(&known, 4_100), "c");
}

/// Work is passed on only to those that were heard of lately: a request that waits for a dead one is late.
#[test]
fn silent_ones_get_no_work() {
    let known = table(
        note("c", "d-1", 0.1),
        &[note("a", "d-1", 0.5), note("b", "d-2", 0.5)],
    );
    let workers = |millis| known.workers(at(millis)).count();
    assert_eq!([workers(1_500), workers(2_000), workers(4_100)], [2, 1, 0]);
}

/// Notes grow older on their way, so that instances cannot keep a dead one alive by telling each other of it.
#[test]
fn passed_on_notes_keep_their_age() {
    let dead = note("a", "d-1", 0.5);
    let mut one = table(note("b", "d-1", 0.1), &[dead]);
    let mut other = table(note("c", "d-2", 0.1), &[]);
    for step in 1..20 {
        let now = at(step * 1_000);
        for heard in one.notes(now) {
            other.hear(now, heard);
        }
        for heard in other.notes(now) {
            one.hear(now, heard);
        }
    }
    let names: Vec<String> = other
        .notes(at(20_000))
        .iter()
        .map(|heard| heard.note.instance.to_string())
        .collect();
    assert_eq!(names, ["c", "b"]);
}

/// A table holds the largest members of each domain only, however many there are.
#[test]
fn table_stays_small() {
    let mut known = FleetTable::new(note("z", "d-1", 0.1));
    for index in 0..1_900_u32 {
        let cores = 0.1 + f64::from(index % 19) / 20.0;
        let note = note(&format!("i-{index}"), &format!("d-{}", index % 4), cores);
        known.hear(at(0), MemberGossip { note, age_ms: 0 });
    }
    let notes = known.notes(at(1));
    assert_eq!(notes.len(), 1 + 4 * 8);
    assert!(notes[1..].iter().all(|heard| heard.note.cores.get() > 0.9));
}
