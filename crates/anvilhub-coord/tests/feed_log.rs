//! Guards against followers that keep removed or outdated values because their reader sends an incomplete update, and
//! against full updates where the changes suffice.

use anvilhub_coord::fleet::{FeedLog, FeedRecord, FeedUpdate};
use anvilhub_coord::ids::PlatformRevision;

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
        era: None,
        is_full,
        records,
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
    log.apply(update(5, true, all)).expect("the first update");
    log.apply(update(7, false, vec![record("c", Some("1"), 7)]))
        .expect("a newer update");
    log.apply(update(9, false, vec![record("a", None, 9)]))
        .expect("a newer update");
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
        .changes_since(Some(PlatformRevision(6)))
        .expect("two changes are new");
    assert!(!sent.is_full);
    assert_eq!(list_keys(&sent), [("a", false), ("c", true)]);
    assert_eq!(log.changes_since(Some(PlatformRevision(9))), None);
}

/// A follower with a newer revision than its reader gets nothing, and the log rejects older updates.
#[test]
fn older_updates_ignored() {
    let mut log = build_log();
    assert_eq!(log.changes_since(Some(PlatformRevision(12))), None);
    assert_eq!(log.apply(update(4, true, Vec::new())), None);
    let kept = log.changes_since(None).expect("a full update");
    assert_eq!(kept.records.len(), 2);
}

/// A follower whose revision is older than the reader's first read may hold values that were removed before that read,
/// so it gets a full update.
#[test]
fn old_follower_resynced() {
    let sent = build_log()
        .changes_since(Some(PlatformRevision(4)))
        .expect("removals before the first read are not known");
    assert!(sent.is_full);
}

/// If the platform has lost its history, the reader reads all values again. Its followers get only the differences.
#[test]
fn reread_sends_differences() {
    let mut log = build_log();
    let all = vec![record("c", Some("2"), 15), record("d", Some("1"), 14)];
    let changes = log.apply(update(15, true, all)).expect("a newer update");
    assert_eq!(
        list_keys(&changes),
        [("b", false), ("c", true), ("d", true)]
    );
    let sent = log
        .changes_since(Some(PlatformRevision(9)))
        .expect("there are changes");
    assert_eq!(sent.records, changes.records);
    assert!(!sent.is_full);
}
