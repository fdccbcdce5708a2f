//! When a gathered answer is complete enough.

use std::time::Duration;

use anvilhub_coord::gateway::SubRequestState::{Done, Failed, Suspect, Waiting};
use anvilhub_coord::gateway::{CutoffVerdict, GatherCutoff, SubRequestState};

const CUTOFF: GatherCutoff = GatherCutoff {
    min_sub_requests: 3,
    target_cutoff: Duration::from_millis(32),
    time_left: Duration::from_millis(240),
};

fn verdict(states: &[SubRequestState], waited: u64) -> CutoffVerdict {
    CUTOFF.verdict(states, Duration::from_millis(waited))
}

#[test]
fn missing_shard_waits() {
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
fn target_ends_wait() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 32),
        CutoffVerdict::Answer
    );
}

/// Guards against a wait past the latency target: an instance whose timer fired 2 ms after the cutoff went on waiting.
#[test]
fn late_timer_answers() {
    assert_eq!(
        verdict(&[Done, Done, Done, Waiting], 34),
        CutoffVerdict::Answer
    );
}

#[test]
fn too_few_wait() {
    assert_eq!(
        verdict(&[Done, Done, Waiting, Waiting], 40),
        CutoffVerdict::Wait
    );
    assert_eq!(
        verdict(&[Done, Done, Waiting, Waiting], 240),
        CutoffVerdict::Fail
    );
}

/// After the latency target a complete answer is worth a bounded wait.
#[test]
fn late_answer_completes() {
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
fn suspect_ends_wait() {
    assert_eq!(
        verdict(&[Done, Done, Done, Suspect], 5),
        CutoffVerdict::Answer
    );
    assert_eq!(
        verdict(&[Done, Done, Failed, Suspect], 5),
        CutoffVerdict::Wait
    );
}

#[test]
fn failure_is_immediate() {
    assert_eq!(
        verdict(&[Done, Waiting, Failed, Failed], 5),
        CutoffVerdict::Fail
    );
}

#[test]
fn timer_follows_cutoffs() {
    let next = |waited| {
        CUTOFF
            .next_cutoff(Duration::from_millis(waited))
            .as_millis()
    };
    assert_eq!((next(0), next(32), next(70)), (32, 64, 240));
}
