//! The expected lateness of an instance's timers.

use std::time::Duration;

use anvilhub_coord::gateway::TimerLag;

/// Guards against late incomplete answers of a small instance: its timers fired 10 ms after each cutoff, so its answers
/// missed the latency target of their callers.
#[test]
fn lag_rises_and_falls() {
    let mut lag = TimerLag::default();
    for _ in 0..10 {
        lag.record(Duration::from_millis(10));
    }
    let expected_lag = lag.expected_lag();
    assert!(expected_lag > Duration::from_millis(9), "{expected_lag:?}");
    for _ in 0..100 {
        lag.record(Duration::ZERO);
    }
    assert!(lag.expected_lag() < Duration::from_millis(1));
}

#[test]
fn long_pause_is_bounded() {
    let mut lag = TimerLag::default();
    lag.record(Duration::from_secs(10));
    assert!(lag.expected_lag() <= Duration::from_millis(12));
}
