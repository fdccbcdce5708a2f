//! Guards against followers that keep removed or outdated values because their reader sends an incomplete update, and
//! against full updates where the changes suffice.

use anvilhub_coord::fleet::{FeedLog, FeedOutcome, FeedRecord, FeedUpdate};
use anvilhub_coord::ids::{PlatformEra, PlatformPlace, PlatformRevision};

fn record(key: &str, value: Option<&str>, revision: u64) -> FeedRecord {
    FeedRecord {
        key: key.to_owned(),
        value: value.map(str::to_owned),
        revision: PlatformRevision(revision),
    }
}

fn update(revision: u64, is_full: bool, records: Vec<FeedRecord>) -> FeedUpdate {
    FeedUpdate {
        revision: PlatformRevision(revision),
        era: Some(PlatformEra(1)),
        is_full,
        records,
    }
}

fn update_of_era(era: u64, revision: u64, is_full: bool, records: Vec<FeedRecord>) -> FeedUpdate {
    FeedUpdate {
        era: Some(PlatformEra(era)),
        ..update(revision, is_full, records)
    }
}

fn place(era: u64, revision: u64) -> PlatformPlace {
    PlatformPlace {
        era: PlatformEra(era),
        revision: PlatformRevision(revision),
    }
}

/// Applies an update and returns the changes that were not known before; `None` if it is not applied.
fn apply(log: &mut FeedLog, update: FeedUpdate) -> Option<FeedUpdate> {
    match log.apply(update) {
        FeedOutcome::Applied { changes, .. } => Some(changes),
        FeedOutcome::Outdated | FeedOutcome::NeedsFullRead => None,
    }
}

/// Returns the keys of an update, and whether each still has a value.
fn list_keys(update: &FeedUpdate) -> Vec<(&str, bool)> {
    let records = update.records.iter();
    records
        .map(|record| (record.key.as_str(), record.value.is_some()))
        .collect()
}

/// Builds a log from a full update with `a` and `b` and two changes: `c` was added, `a` was removed.
fn build_log() -> FeedLog {
    let mut log = FeedLog::default();
    let all = vec![record("a", Some("1"), 3), record("b", Some("1"), 5)];
    apply(&mut log, update(5, true, all)).expect("the first update");
    apply(&mut log, update(7, false, vec![record("c", Some("1"), 7)])).expect("a newer update");
    apply(&mut log, update(9, false, vec![record("a", None, 9)])).expect("a newer update");
    log
}

#[test]
fn unread_log_empty() {
    assert_eq!(FeedLog::default().changes_since(None), None);
}

#[test]
fn new_follower_synced() {
    let sent = build_log().changes_since(None).expect("a full update");
    assert!(sent.is_full);
    assert_eq!(sent.revision, PlatformRevision(9));
    assert_eq!(list_keys(&sent), [("b", true), ("c", true)]);
}

#[test]
fn missed_changes_sent() {
    let log = build_log();
    let sent = log
        .changes_since(Some(place(1, 6)))
        .expect("two changes are new");
    assert!(!sent.is_full);
    assert_eq!(list_keys(&sent), [("a", false), ("c", true)]);
    assert_eq!(log.changes_since(Some(place(1, 9))), None);
}

/// A follower with a newer revision than its reader gets nothing, and the log rejects older updates.
#[test]
fn older_updates_ignored() {
    let mut log = build_log();
    assert_eq!(log.changes_since(Some(place(1, 12))), None);
    assert_eq!(apply(&mut log, update(4, true, Vec::new())), None);
    let kept = log.changes_since(None).expect("a full update");
    assert_eq!(kept.records.len(), 2);
}

/// A follower whose revision is older than the reader's first read may hold values that were removed before that read,
/// so it gets a full update.
#[test]
fn old_follower_resynced() {
    let sent = build_log()
        .changes_since(Some(place(1, 4)))
        .expect("removals before the first read are not known");
    assert!(sent.is_full);
}

/// If the platform has lost its history, the reader reads all values again. Its followers get only the differences.
#[test]
fn reread_sends_differences() {
    let mut log = build_log();
    let all = vec![record("c", Some("2"), 15), record("d", Some("1"), 14)];
    let changes = apply(&mut log, update(15, true, all)).expect("a newer update");
    assert_eq!(
        list_keys(&changes),
        [("b", false), ("c", true), ("d", true)]
    );
    let sent = log
        .changes_since(Some(place(1, 9)))
        .expect("there are changes");
    assert_eq!(sent.records, changes.records);
    assert!(!sent.is_full);
}

/// After a restore the platform's revisions are lower than those that are known, and were dropped as old. Values written
/// at a revision that was given out before differ from the known ones.
#[test]
fn restored_values_applied() {
    let mut log = build_log();
    let all = vec![record("b", Some("1"), 5), record("c", Some("2"), 7)];
    let outcome = log.apply(update_of_era(2, 7, true, all));
    let FeedOutcome::Applied {
        changes,
        is_restored: true,
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(list_keys(&changes), [("c", true)]);
    assert_eq!(log.place(), Some(place(2, 7)));
}

/// A value that the copy does not hold is passed on as removed.
#[test]
fn lost_values_removed() {
    let mut log = build_log();
    let all = vec![record("b", Some("1"), 5)];
    let changes = apply(&mut log, update_of_era(2, 6, true, all)).expect("a new era");
    assert_eq!(list_keys(&changes), [("c", false)]);
    let sent = log.changes_since(Some(place(2, 5))).expect("all values");
    assert!(sent.is_full);
    assert_eq!(list_keys(&sent), [("b", true)]);
}

/// Changes of a new era say nothing about what the restore has lost, so they do not count without all values.
#[test]
fn restored_changes_need_all_values() {
    let mut log = build_log();
    let changes = update_of_era(2, 20, false, vec![record("c", Some("2"), 20)]);
    assert_eq!(log.apply(changes), FeedOutcome::NeedsFullRead);
    assert_eq!(log.place(), Some(place(1, 9)));
}

/// Answers may arrive in another order than they were given. Those of an earlier era are old, whatever their revision.
#[test]
fn earlier_era_dropped() {
    let mut log = build_log();
    apply(&mut log, update_of_era(3, 4, true, Vec::new())).expect("a new era");
    for era in [1, 2] {
        let all = vec![record("b", Some("9"), 99)];
        let outcome = log.apply(update_of_era(era, 99, true, all));
        assert_eq!(outcome, FeedOutcome::Outdated);
    }
}

/// A follower in an earlier era has to get all values, and one in a later era nothing.
#[test]
fn followers_of_other_eras_synced() {
    let mut log = build_log();
    let all = vec![record("b", Some("1"), 5)];
    apply(&mut log, update_of_era(2, 6, true, all)).expect("a new era");
    let sent = log.changes_since(Some(place(1, 9))).expect("all values");
    assert!(sent.is_full);
    assert_eq!(sent.era, Some(PlatformEra(2)));
    assert_eq!(log.changes_since(Some(place(3, 1))), None);
}

/// An update without an era, of an instance of an earlier version, belongs to the era that is known.
#[test]
fn unnamed_era_is_the_known_one() {
    let mut log = build_log();
    apply(&mut log, update_of_era(2, 6, true, Vec::new())).expect("a new era");
    let unnamed = FeedUpdate {
        era: None,
        ..update(8, false, vec![record("d", Some("1"), 8)])
    };
    let changes = apply(&mut log, unnamed).expect("a newer update");
    assert_eq!(list_keys(&changes), [("d", true)]);
    assert_eq!(log.place(), Some(place(2, 8)));
}

/// A value that came and went while the reader had lost the platform's history is in none of the reader's updates. A follower
/// that had learned of it elsewhere must still hear that it is gone.
#[test]
fn unseen_removal_noticed() {
    let mut reader = build_log();
    let mut follower = build_log();
    apply(
        &mut follower,
        update(12, false, vec![record("d", Some("1"), 12)]),
    )
    .expect("a change");
    let all = vec![record("b", Some("1"), 5), record("c", Some("1"), 7)];
    apply(&mut reader, update(20, true, all)).expect("a full read");
    let count = Some(follower.value_count());
    let changes = reader.changes_for(follower.place(), count);
    apply(&mut follower, changes.expect("a difference")).expect("it is newer");
    assert_eq!(follower.value_count(), reader.value_count());
    assert_eq!(
        reader.changes_for(follower.place(), Some(follower.value_count())),
        None,
        "nothing is sent again"
    );
}
