//! How late an instance acts on its timers.

use std::time::Duration;

use anvilhub_coord::gateway::TimerLag;

/// A small instance that was 10 ms late for each cut sent incomplete answers after the aim of their callers.
#[test]
fn lag_is_learned_and_forgotten() {
    let mut lag = TimerLag::default();
    for _ in 0..10 {
        lag.observe(Duration::from_millis(10));
    }
    let learned = lag.expected();
    assert!(learned > Duration::from_millis(9), "{learned:?}");
    for _ in 0..100 {
        lag.observe(Duration::ZERO);
    }
    assert!(lag.expected() < Duration::from_millis(1));
}

#[test]
fn one_pause_is_bounded() {
    let mut lag = TimerLag::default();
    lag.observe(Duration::from_secs(10));
    assert!(lag.expected() <= Duration::from_millis(12));
}
