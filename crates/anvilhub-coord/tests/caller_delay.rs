//! Guards against answers that miss the latency target because the time that a caller had waited before its request
//! arrived was not counted.

use std::time::Duration;

use anvilhub_coord::gateway::CallerDelay;

const TIMEOUT: Duration = Duration::from_millis(250);

fn estimate_ms(delay: &mut CallerDelay, time_left_ms: u64) -> u64 {
    let time_left = Duration::from_millis(time_left_ms);
    delay.record_time_left(time_left, TIMEOUT).as_millis() as u64
}

/// A caller that first had to open a connection states a time left that is a few milliseconds shorter.
#[test]
fn new_connection_counts() {
    let mut delay = CallerDelay::default();
    assert_eq!(estimate_ms(&mut delay, 243), 7);
    assert_eq!(estimate_ms(&mut delay, 250), 0);
    assert_eq!(estimate_ms(&mut delay, 242), 8);
}

#[test]
fn retrying_caller_counts() {
    let mut delay = CallerDelay::default();
    estimate_ms(&mut delay, 250);
    assert_eq!(estimate_ms(&mut delay, 180), 70);
}

/// Callers whose deadline differs from the route's timeout are compared with each other.
#[test]
fn longer_deadlines_count() {
    let mut delay = CallerDelay::default();
    assert_eq!(estimate_ms(&mut delay, 400), 0);
    assert_eq!(estimate_ms(&mut delay, 380), 20);
}
