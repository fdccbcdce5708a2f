//! Guards against hedges that are sent too early, or not at all after a slowdown has ended.

use std::time::Duration;

use anvilhub_coord::routing::{HedgePolicy, LatencyWindow};
use anvilhub_coord::time::ClockTime;

fn create_window(recorded_at: ClockTime, latencies_ms: impl Iterator<Item = u64>) -> LatencyWindow {
    let mut window = LatencyWindow::default();
    for latency_ms in latencies_ms {
        window.record(recorded_at, Duration::from_millis(latency_ms));
    }
    window
}

#[test]
fn delay_is_quantile() {
    let shard = create_window(ClockTime(0), 1..=100);
    let policy = HedgePolicy::new(0.95);

    let delay = policy
        .delay(&shard, &LatencyWindow::default())
        .expect("enough samples");

    assert!((95..=105).contains(&delay.as_millis()), "{delay:?}");
}

#[test]
fn service_delay_fallback() {
    let shard = create_window(ClockTime(0), 1..=3);
    let service = create_window(ClockTime(0), 1..=100);
    let policy = HedgePolicy::new(0.95);

    assert!(policy.delay(&shard, &service) > Some(Duration::from_millis(90)));
    assert_eq!(policy.delay(&shard, &shard), None);
}

#[test]
fn past_slowdown_ignored() {
    let mut shard = create_window(ClockTime(0), (0..100).map(|_| 800));
    let later = ClockTime(0) + Duration::from_secs(20);
    for _ in 0..100 {
        shard.record(later, Duration::from_millis(5));
    }
    let delay = HedgePolicy::new(0.95).delay(&shard, &shard);

    assert!(delay < Some(Duration::from_millis(10)), "{delay:?}");
}
