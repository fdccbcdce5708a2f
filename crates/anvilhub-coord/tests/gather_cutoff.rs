//! Guards against gathered answers that miss the latency target while they wait for a late shard, and against answers
//! that are sent with too few shards or without a shard that would still have arrived in time.

use std::time::Duration;

use anvilhub_coord::gateway::SubRequestState::{Done, Failed, Suspect, Waiting};
use anvilhub_coord::gateway::{CutoffVerdict, GatherCutoff, SubRequestState};

const CUTOFF: GatherCutoff = GatherCutoff {
    min_sub_requests: 3,
    target_cutoff: Duration::from_millis(32),
    final_cutoff: Duration::from_millis(240),
};

fn verdict(states: &[SubRequestState], waited_ms: u64) -> CutoffVerdict {
    CUTOFF.verdict(states, Duration::from_millis(waited_ms))
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

/// Guards against a wait past the latency target: the timer of an instance fired 2 ms after the cutoff, and the
/// instance went on waiting.
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

/// After the latency target, an answer waits for missing shards again, but only for a bounded time.
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
fn failure_immediate() {
    assert_eq!(
        verdict(&[Done, Waiting, Failed, Failed], 5),
        CutoffVerdict::Fail
    );
}

#[test]
fn timer_follows_cutoffs() {
    let next_ms = |waited_ms| {
        CUTOFF
            .next_cutoff(Duration::from_millis(waited_ms))
            .as_millis()
    };
    assert_eq!((next_ms(0), next_ms(32), next_ms(70)), (32, 64, 240));
}
