//! Guards against answers that miss the latency target because the timers of a busy instance fire late.

use std::time::Duration;

use anvilhub_coord::gateway::TimerLag;

/// The timers of a small instance fired 10 ms after each cutoff, so its incomplete answers were late.
#[test]
fn lag_follows_timers() {
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
fn long_lag_bounded() {
    let mut lag = TimerLag::default();
    lag.record(Duration::from_secs(10));
    assert!(lag.expected_lag() <= Duration::from_millis(12));
}
