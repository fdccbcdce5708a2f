//! How long a request and its answer are on their way.

use std::time::Duration;

use anvilhub_coord::gateway::CallerLatency;

const TIMEOUT: Duration = Duration::from_millis(400);
const MOST: Duration = Duration::from_millis(10);

fn learned(waits: &[u64]) -> Duration {
    let mut way = CallerLatency::default();
    for wait in waits {
        way.observe(Duration::from_millis(*wait), TIMEOUT);
    }
    way.time(MOST)
}

#[test]
fn unknown_way_is_long() {
    assert_eq!(learned(&[]), MOST);
    assert_eq!(learned(&[3; 7]), MOST);
}

/// The load of callers one millisecond away: with ten kept for the way, each answer at the last moment was cut five
/// milliseconds before it had to be.
#[test]
fn near_callers_leave_more() {
    assert_eq!(learned(&[3; 20]), Duration::from_millis(5));
    assert_eq!(learned(&[7; 20]), Duration::from_millis(9));
}

/// Callers that were held up, that came back, or whose wait is a rounding error say nothing of the way.
#[test]
fn other_waits_do_not_count() {
    let mut waits = vec![3; 20];
    waits.extend([0, 0, 1, 1, 0, 85, 211, 5, 6, 8]);
    assert_eq!(learned(&waits), Duration::from_millis(5));
}

#[test]
fn far_callers_get_no_more_than_the_most() {
    assert_eq!(learned(&[35; 20]), MOST);
}
