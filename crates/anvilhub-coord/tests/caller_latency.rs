//! Guards against estimates of the network latency that are too long, so that answers are cut off too early, or too
//! short, so that they miss the latency target.

use std::time::Duration;

use anvilhub_coord::gateway::CallerLatency;

const TIMEOUT: Duration = Duration::from_millis(400);
const MAX: Duration = Duration::from_millis(10);

fn estimate(waits_ms: &[u64]) -> Duration {
    let mut latency = CallerLatency::default();
    for wait in waits_ms {
        latency.record_wait(Duration::from_millis(*wait), TIMEOUT);
    }
    latency.estimate(MAX)
}

#[test]
fn unknown_latency_maximal() {
    assert_eq!(estimate(&[]), MAX);
    assert_eq!(estimate(&[3; 7]), MAX);
}

/// Guards against answers that are cut off too early for close callers: with 10 ms reserved for callers at a distance
/// of 1 ms, each answer that waited until the cutoff was sent 5 ms before it had to be.
#[test]
fn close_latency_smaller() {
    assert_eq!(estimate(&[3; 20]), Duration::from_millis(5));
    assert_eq!(estimate(&[7; 20]), Duration::from_millis(9));
}

/// Rounding errors and the waits of callers that retried or had delays of their own say nothing about the network.
#[test]
fn outliers_ignored() {
    let mut waits = vec![3; 20];
    waits.extend([0, 0, 1, 1, 0, 85, 211, 5, 6, 8]);
    assert_eq!(estimate(&waits), Duration::from_millis(5));
}

#[test]
fn distant_latency_capped() {
    assert_eq!(estimate(&[35; 20]), MAX);
}
