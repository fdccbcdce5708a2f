//! Guards against the outcome `not_run` for a request that may have been executed, or is executed later, in the parts
//! that decide on attempts, admission and slots.

use std::collections::BTreeSet;
use std::time::Duration;

use anvilhub_coord::admission::{AdmissionGate, AdmissionSettings, AdmissionVerdict};
use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::{
    AttemptKind, AttemptRule, AttemptState, AttemptVerdict, ReportedOutcome, SlotDecision,
    SlotQueue,
};
use anvilhub_coord::sheet::{RepeatPolicy, UrgencyClass};
use anvilhub_coord::time::ClockTime;

const DEADLINE: ClockTime = ClockTime(1_000_000);

/// Decides on a retry of a non-idempotent request whose first attempt is in `state`.
fn decide_retry(state: AttemptState) -> AttemptVerdict {
    AttemptRule::new(RepeatPolicy::NonIdempotent, true, DEADLINE).decide(
        ClockTime(0),
        AttemptKind::Retry,
        &[state],
    )
}

/// Asserts that an attempt in `state` gives the outcome `unknown` and allows no retry.
fn assert_unknown(state: AttemptState) {
    assert_eq!(
        ReportedOutcome::from_attempts(&[state]),
        ReportedOutcome::Unknown
    );
    assert_ne!(decide_retry(state), AttemptVerdict::Allowed);
}

#[test]
fn silent_connection() {
    assert_unknown(AttemptState::Broken);
}

#[test]
fn upstream_partition() {
    assert_unknown(AttemptState::TimedOut);
    let mixed = [AttemptState::ConnectFailed, AttemptState::TimedOut];
    assert_eq!(
        ReportedOutcome::from_attempts(&mixed),
        ReportedOutcome::Unknown
    );

    let unopened = ReportedOutcome::from_attempts(&[AttemptState::ConnectFailed]);
    assert_eq!(unopened, ReportedOutcome::NotRun);
}

#[test]
fn late_answer() {
    // An answer to another request does not show whether this one was executed.
    assert_unknown(AttemptState::BadAnswer);
}

#[test]
fn replica_lost() {
    let attempts = [AttemptState::Refused, AttemptState::Broken];
    assert_eq!(
        ReportedOutcome::from_attempts(&attempts),
        ReportedOutcome::Unknown
    );
}

#[test]
fn instance_killed() {
    // The upstream process ends after the request was written and before the first byte of the answer.
    assert_unknown(AttemptState::Broken);
    let done = [AttemptState::Broken, AttemptState::Answered];
    assert_eq!(ReportedOutcome::from_attempts(&done), ReportedOutcome::Done);
}

#[test]
fn process_paused() {
    let mut gate = AdmissionGate::new(AdmissionSettings {
        initial_limit: 1,
        min_limit: 1,
        ..AdmissionSettings::default()
    });
    for item in 0..10 {
        gate.try_admit(ClockTime(0), UrgencyClass::Standard, DEADLINE, item);
    }

    // The process resumes after the deadline and finishes the first request.
    let release =
        gate.finish_with_urgency(DEADLINE, UrgencyClass::Standard, Duration::from_secs(1));

    assert!(
        release.to_start.is_empty(),
        "an expired request was started"
    );
    assert_eq!(release.refused.len(), 9);
}

#[test]
fn straggler_shard() {
    let mut queue = SlotQueue::new(SlotCount(1), 4, Duration::from_millis(5));
    let mut sent = BTreeSet::new();
    let mut returned = BTreeSet::new();
    for item in 0..8_u64 {
        let deadline = ClockTime::from_millis(50 + item * 10);
        match queue.offer(ClockTime(0), UrgencyClass::Standard, deadline, item) {
            SlotDecision::Start(item) => assert!(sent.insert(item)),
            SlotDecision::Queued => {}
            SlotDecision::Displaced(item)
            | SlotDecision::Full(item)
            | SlotDecision::Expired(item) => {
                assert!(returned.insert(item));
            }
        }
    }
    // A straggler occupies the slot until some of the deadlines have passed.
    let release = queue.release_slot(ClockTime::from_millis(70));
    sent.extend(release.to_start);
    returned.extend(release.expired);

    assert!(sent.is_disjoint(&returned));
    assert!(returned.contains(&1), "an expired sub-request was kept");
    assert_eq!(sent.len() + returned.len() + queue.waiting_count(), 8);
}

#[test]
fn misleading_load() {
    // Every item must be started or refused exactly once, however wrong the latency estimate is.
    let mut gate = AdmissionGate::new(AdmissionSettings {
        queue_capacity: 3,
        initial_limit: 1,
        min_limit: 1,
        max_limit: 2,
    });
    let mut started = Vec::new();
    let mut refused = Vec::new();
    for item in 0..200_u64 {
        let now = ClockTime::from_millis(item);
        let urgency = match item % 3 {
            0 => UrgencyClass::Urgent,
            1 => UrgencyClass::Standard,
            _ => UrgencyClass::Deferred,
        };
        let arrival = gate.try_admit(now, urgency, now + Duration::from_millis(40), item);
        match arrival.verdict {
            AdmissionVerdict::Start(item) => started.push(item),
            AdmissionVerdict::Refused(refusal) => refused.push(refusal.item),
            AdmissionVerdict::Queued => {}
        }
        refused.extend(arrival.shed.map(|refusal| refusal.item));
        if item % 7 == 0 && gate.running_count() > 0 {
            let release =
                gate.finish_with_urgency(now, urgency, Duration::from_millis(1 + item % 50));
            started.extend(release.to_start);
            refused.extend(release.refused.into_iter().map(|refusal| refusal.item));
        }
    }
    let mut seen: Vec<u64> = started.iter().chain(&refused).copied().collect();
    seen.sort_unstable();
    let total = seen.len();
    seen.dedup();

    assert!(!started.is_empty() && !refused.is_empty());
    assert_eq!(seen.len(), total, "an item was started or refused twice");
    assert_eq!(total + gate.waiting_count(), 200);
}
