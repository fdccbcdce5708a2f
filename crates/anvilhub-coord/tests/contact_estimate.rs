//! Guards against a value of the platform that looks the younger the more often instances pass it on.

use std::time::Duration;

use anvilhub_coord::fleet::ContactEstimate;
use anvilhub_coord::time::ClockTime;

/// How long a reader holds a follower's call without changes.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Network latency of a call, and of its answer.
const LATENCY: Duration = Duration::from_millis(3);

/// Three instances are cut off and follow each other in a circle. None of them may believe in a later contact than the
/// one that the first of them had.
#[test]
fn circle_grows_old() {
    let last_contact = ClockTime::from_millis(10_000);
    let mut contacts = [last_contact; 3];
    let mut now = last_contact;
    for round in 0..60 {
        let (reader, follower) = (round % 3, (round + 1) % 3);
        let sent_at = now;
        let answered_at = sent_at + LATENCY + FOLLOW_WAIT;
        now = answered_at + LATENCY;
        let estimate = ContactEstimate {
            sent_at,
            received_at: now,
            held: FOLLOW_WAIT,
            age: answered_at.since(contacts[reader]),
        };
        contacts[follower] = contacts[follower].max(estimate.earliest_contact());
    }
    assert_eq!(contacts, [last_contact; 3]);
}

/// A reader whose clock runs fast may claim to have held a call for longer than the call took.
#[test]
fn overlong_hold_limited() {
    let estimate = ContactEstimate {
        sent_at: ClockTime::from_millis(1_000),
        received_at: ClockTime::from_millis(1_400),
        held: Duration::from_secs(60),
        age: Duration::from_millis(100),
    };
    assert_eq!(estimate.earliest_contact(), ClockTime::from_millis(1_300));
}
