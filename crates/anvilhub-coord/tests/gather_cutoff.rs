//! When a gathered answer is complete enough.

use std::time::Duration;

use anvilhub_coord::gateway::SubRequestState::{Done, Doubtful, Lost, Waiting};
use anvilhub_coord::gateway::{CutoffVerdict, GatherCutoff, SubRequestState};

const CUT: GatherCutoff = GatherCutoff {
    least_parts: 3,
    aim_left: Duration::from_millis(32),
    time_left: Duration::from_millis(240),
};

fn verdict(parts: &[SubRequestState], waited: u64) -> CutoffVerdict {
    CUT.verdict(parts, Duration::from_millis(waited))
}

#[test]
fn waits_for_all() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 20),
        CutoffVerdict::Wait
    );
    assert_eq!(
        verdict(&[Done, Done, Done, Done], 20),
        CutoffVerdict::Answer
    );
}

#[test]
fn answers_at_aim() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 32),
        CutoffVerdict::Answer
    );
}

/// An instance that woke 2 ms after the cut went on waiting and answered after the aim.
#[test]
fn late_wake_answers() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 34),
        CutoffVerdict::Answer
    );
}

#[test]
fn too_few_wait_on() {
    assert_eq!(
        verdict(&[Done, Done, Waiting, Waiting], 40),
        CutoffVerdict::Wait
    );
    assert_eq!(
        verdict(&[Done, Done, Waiting, Waiting], 240),
        CutoffVerdict::Hopeless
    );
}

/// After the aim a complete answer is worth a bounded wait.
#[test]
fn late_one_completes() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 50),
        CutoffVerdict::Wait
    );
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 64),
        CutoffVerdict::Answer
    );
}

#[test]
fn nobody_waits_for_doubtful() {
    assert_eq!(
        verdict(&[Done, Done, Done, Doubtful], 5),
        CutoffVerdict::Answer
    );
    assert_eq!(
        verdict(&[Done, Done, Lost, Doubtful], 5),
        CutoffVerdict::Wait
    );
}

#[test]
fn hopeless_is_known_at_once() {
    assert_eq!(
        verdict(&[Done, Waiting, Lost, Lost], 5),
        CutoffVerdict::Hopeless
    );
}

#[test]
fn timer_follows_cuts() {
    let next = |waited| CUT.next_cut(Duration::from_millis(waited)).as_millis();
    assert_eq!((next(0), next(32), next(70)), (32, 64, 240));
}
