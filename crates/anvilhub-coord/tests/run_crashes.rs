//! Guards against one request that crashes an upstream of each shard, and each of them twice.

use std::time::Duration;

use anvilhub_coord::crash::{CrashVerdict, RunCrashes, SendVerdict};

#[test]
fn unsuspected_request_sent() {
    let mut crashes = RunCrashes::new(CrashVerdict::Unsuspected);
    for _ in 0..20 {
        assert_eq!(crashes.verdict(), SendVerdict::Send);
        assert!(!crashes.record_send());
    }
}

/// All sub-requests lose their upstreams; one is repeated, and loses another one.
#[test]
fn one_repeat_after_crashes() {
    let mut crashes = RunCrashes::new(CrashVerdict::Unsuspected);
    crashes.record_crash(false);
    assert!(crashes.record_send(), "the first repeat is the trial");
    for _ in 0..19 {
        crashes.record_crash(false);
        assert_eq!(crashes.verdict(), SendVerdict::Hold);
    }
    crashes.record_crash(true);
    assert_eq!(crashes.verdict(), SendVerdict::Refuse);
}

/// The upstreams of a failure domain end. One answer from another domain shows that the request is sound.
#[test]
fn completion_releases() {
    let mut crashes = RunCrashes::new(CrashVerdict::Unsuspected);
    crashes.record_crash(false);
    assert!(crashes.record_send());
    assert_eq!(crashes.verdict(), SendVerdict::Hold);
    crashes.record_completion();
    assert_eq!(crashes.verdict(), SendVerdict::Send);
    crashes.record_crash(true);
    assert_eq!(crashes.verdict(), SendVerdict::Send);
}

#[test]
fn suspect_starts_on_trial() {
    let mut crashes = RunCrashes::new(CrashVerdict::Suspected);
    assert!(crashes.record_send());
    assert_eq!(crashes.verdict(), SendVerdict::Hold);
    crashes.record_other_end(true);
    assert_eq!(
        crashes.verdict(),
        SendVerdict::Send,
        "the next one is tried"
    );
}

#[test]
fn blamed_request_refused() {
    let left = Duration::from_secs(60);
    let crashes = RunCrashes::new(CrashVerdict::Blamed { left });
    assert_eq!(crashes.verdict(), SendVerdict::Refuse);
}
