//! How long a caller has waited before its request arrives.

use std::time::Duration;

use anvilhub_coord::gateway::CallerDelay;

const TIMEOUT: Duration = Duration::from_millis(250);

fn waited(aim: &mut CallerDelay, stated: u64) -> u64 {
    let stated = Duration::from_millis(stated);
    aim.waited_before(stated, TIMEOUT).as_millis() as u64
}

/// A caller that opens a connection states a few milliseconds less; its answer was sent too late for the aim.
#[test]
fn new_connection_counts() {
    let mut aim = CallerDelay::default();
    assert_eq!(waited(&mut aim, 243), 7);
    assert_eq!(waited(&mut aim, 250), 0);
    assert_eq!(waited(&mut aim, 242), 8);
}

#[test]
fn returning_caller_counts() {
    let mut aim = CallerDelay::default();
    waited(&mut aim, 250);
    assert_eq!(waited(&mut aim, 180), 70);
}

/// Callers whose deadline is not the route's timeout are compared with each other.
#[test]
fn longer_deadlines_count() {
    let mut aim = CallerDelay::default();
    assert_eq!(waited(&mut aim, 400), 0);
    assert_eq!(waited(&mut aim, 380), 20);
}
