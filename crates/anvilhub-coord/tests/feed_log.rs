//! What an instance that reads the platform can tell those that follow it.

use anvilhub_coord::fleet::{FeedLog, FeedRecord, FeedUpdate};
use anvilhub_coord::ids::PlatformRevision;

fn record(key: &str, value: Option<&str>, revision: u64) -> FeedRecord {
    FeedRecord {
        key: key.to_owned(),
        value: value.map(str::to_owned),
        revision: PlatformRevision(revision),
    }
}

fn news(as_of: u64, is_whole: bool, records: Vec<FeedRecord>) -> FeedUpdate {
    FeedUpdate {
        as_of: PlatformRevision(as_of),
        is_whole,
        records,
    }
}

fn keys(news: &FeedUpdate) -> Vec<(&str, bool)> {
    let records = news.records.iter();
    records
        .map(|record| (record.key.as_str(), record.value.is_some()))
        .collect()
}

fn known() -> FeedLog {
    let mut log = FeedLog::default();
    let all = vec![record("a", Some("1"), 3), record("b", Some("1"), 5)];
    log.take(news(5, true, all)).expect("the first news");
    log.take(news(7, false, vec![record("c", Some("1"), 7)]))
        .expect("later news");
    log.take(news(9, false, vec![record("a", None, 9)]))
        .expect("later news");
    log
}

#[test]
fn nothing_before_first_read() {
    assert_eq!(FeedLog::default().since(None), None);
}

#[test]
fn new_follower_gets_all() {
    let told = known().since(None).expect("there is something to tell");
    assert!(told.is_whole);
    assert_eq!(told.as_of, PlatformRevision(9));
    assert_eq!(keys(&told), [("b", true), ("c", true)]);
}

#[test]
fn follower_gets_what_it_missed() {
    let log = known();
    let told = log
        .since(Some(PlatformRevision(6)))
        .expect("two changes are new");
    assert!(!told.is_whole);
    assert_eq!(keys(&told), [("a", false), ("c", true)]);
    assert_eq!(log.since(Some(PlatformRevision(9))), None);
}

/// A follower that knows more than its reader is told nothing, and takes nothing older.
#[test]
fn older_news_are_ignored() {
    let mut log = known();
    assert_eq!(log.since(Some(PlatformRevision(12))), None);
    assert_eq!(log.take(news(4, true, Vec::new())), None);
    assert_eq!(log.since(None).expect("it is kept").records.len(), 2);
}

/// A follower from before the first read may know values that were removed before it: it must start anew.
#[test]
fn early_follower_starts_anew() {
    let told = known()
        .since(Some(PlatformRevision(4)))
        .expect("removals before the first read are not known");
    assert!(told.is_whole);
}

/// After a lost history everything is read anew; followers are told only what that changed.
#[test]
fn second_read_tells_changes() {
    let mut log = known();
    let all = vec![record("c", Some("2"), 15), record("d", Some("1"), 14)];
    let changes = log.take(news(15, true, all)).expect("newer");
    assert_eq!(keys(&changes), [("b", false), ("c", true), ("d", true)]);
    let told = log.since(Some(PlatformRevision(9))).expect("newer");
    assert_eq!(told.records, changes.records);
    assert!(!told.is_whole);
}
