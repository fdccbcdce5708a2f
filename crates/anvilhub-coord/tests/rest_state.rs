//! Guards against requests to an upstream in the time for which it has asked to get none.

use std::time::Duration;

use anvilhub_coord::gateway::{LeavingState, RestState};
use anvilhub_coord::time::ClockTime;

const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

#[test]
fn rest_ends() {
    let mut state = RestState::default();
    assert!(!state.is_resting(at(0)));
    assert!(state.record(at(0), 3 * SECOND));
    assert!(state.is_resting(at(2_999)));
    assert!(!state.is_resting(at(3_000)));
    assert_eq!(state.time_left(at(1_000)), 2 * SECOND);
}

/// Answers to requests that were sent before a rest name other times. The longest one holds, in whichever order they come.
#[test]
fn longest_rest_holds() {
    for rests in [[3 * SECOND, SECOND], [SECOND, 3 * SECOND]] {
        let mut state = RestState::default();
        for rest in rests {
            state.record(at(0), rest);
        }
        assert!(state.is_resting(at(2_999)), "{rests:?}");
    }
    let mut state = RestState::default();
    state.record(at(0), SECOND);
    assert!(!state.record(at(500), SECOND), "it rests already");
    assert!(state.is_resting(at(1_499)));
}

#[test]
fn extreme_rests_bounded() {
    let mut state = RestState::default();
    assert!(!state.record(at(0), Duration::ZERO));
    assert!(!state.is_resting(at(0)));
    state.record(at(0), Duration::MAX);
    assert!(!state.is_resting(at(3_600_000)));
}

/// An upstream that has said itself that it leaves goes on leaving while the platform's list calls it ready.
#[test]
fn announcement_outweighs_list() {
    let grace = SECOND;
    let mut state = LeavingState::default();
    assert!(state.record_announcement(at(0)));
    assert!(!state.record_announcement(at(900)), "it is known");
    state.set_leaving(at(500), false);
    assert!(state.is_last_resort());
    assert!(state.is_usable(at(999), grace));
    assert!(!state.is_usable(at(1_000), grace));
    state.set_leaving(at(2_000), true);
    assert!(
        !state.is_usable(at(2_000), grace),
        "the time does not begin again"
    );
}
