//! When a refused caller should retry.

use std::time::Duration;

use anvilhub_coord::gateway::RetryAdvice;

fn pause(drain_time: u64, time_left: u64, jitter: f64) -> u64 {
    let millis = Duration::from_millis;
    RetryAdvice
        .pause(millis(drain_time), millis(time_left), jitter)
        .as_millis() as u64
}

/// Callers that were refused at the same moment do not retry at the same moment.
#[test]
fn retries_are_spread() {
    assert_eq!((pause(60, 3_000, 0.0), pause(60, 3_000, 1.0)), (60, 120));
}

#[test]
fn pause_is_bounded() {
    assert_eq!(pause(500, 300, 0.5), 100);
    assert_eq!(pause(0, 300, 0.5), 10);
}
