//! When a caller that is turned away should return.

use std::time::Duration;

use anvilhub_coord::gateway::RetryAdvice;

fn pause(drained: u64, left: u64, spread: f64) -> u64 {
    let millis = Duration::from_millis;
    RetryAdvice
        .pause(millis(drained), millis(left), spread)
        .as_millis() as u64
}

/// Callers that were turned away together do not return together.
#[test]
fn returns_are_spread() {
    assert_eq!((pause(60, 3_000, 0.0), pause(60, 3_000, 1.0)), (60, 120));
}

#[test]
fn pause_is_honoured() {
    assert_eq!(pause(500, 300, 0.5), 100);
    assert_eq!(pause(0, 300, 0.5), 10);
}
