//! Guards against answers that miss the latency target because a delay on their way to the caller was not reserved.

use std::time::Duration;

use anvilhub_coord::gateway::AnswerDeadline;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against relayed answers that are late by the hop from the relay to the entry instance. If a request waits
/// until the last moment for a paused shard, the relay must answer earlier than the entry instance would.
#[test]
fn relay_answers_earlier() {
    let direct = AnswerDeadline {
        latency_target: millis(80),
        caller_latency: millis(10),
        ..AnswerDeadline::default()
    };
    let relayed = AnswerDeadline {
        return_latency: millis(2),
        ..direct
    };
    let arrival = |deadline: AnswerDeadline| {
        deadline.cutoff() + deadline.return_latency + deadline.caller_latency
    };
    assert_eq!(arrival(direct), millis(80));
    assert_eq!(arrival(relayed), millis(80));
    assert_eq!(relayed.cutoff(), millis(68));
}

#[test]
fn missed_target_zero() {
    let deadline = AnswerDeadline {
        latency_target: millis(40),
        caller_latency: millis(10),
        waited_before: millis(35),
        ..AnswerDeadline::default()
    };
    assert_eq!(deadline.cutoff(), Duration::ZERO);
}
