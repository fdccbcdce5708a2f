//! How long a caller has waited before its request arrives.

use std::time::Duration;

use anvilhub_coord::gateway::CallerDelay;

const TIMEOUT: Duration = Duration::from_millis(250);

fn estimate(delay: &mut CallerDelay, time_left: u64) -> u64 {
    let time_left = Duration::from_millis(time_left);
    delay.estimate(time_left, TIMEOUT).as_millis() as u64
}

/// Guards against answers that miss the latency target of callers that had to open a connection first: these state a
/// few milliseconds less.
#[test]
fn new_connection_counts() {
    let mut delay = CallerDelay::default();
    assert_eq!(estimate(&mut delay, 243), 7);
    assert_eq!(estimate(&mut delay, 250), 0);
    assert_eq!(estimate(&mut delay, 242), 8);
}

#[test]
fn retrying_caller_counts() {
    let mut delay = CallerDelay::default();
    estimate(&mut delay, 250);
    assert_eq!(estimate(&mut delay, 180), 70);
}

/// Callers whose deadline differs from the route's timeout are compared with each other.
#[test]
fn longer_deadlines_count() {
    let mut delay = CallerDelay::default();
    assert_eq!(estimate(&mut delay, 400), 0);
    assert_eq!(estimate(&mut delay, 380), 20);
}
