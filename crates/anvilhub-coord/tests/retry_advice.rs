//! Guards against refused callers that retry all at once, before the load has had time to fall, or too late for their
//! deadline.

use std::time::Duration;

use anvilhub_coord::gateway::RetryAdvice;

fn retry_delay_ms(drain_time_ms: u64, time_left_ms: u64, jitter: f64) -> u64 {
    let millis = Duration::from_millis;
    RetryAdvice
        .retry_delay(millis(drain_time_ms), millis(time_left_ms), jitter)
        .as_millis() as u64
}

/// Callers that were refused at the same moment do not retry at the same moment.
#[test]
fn retries_spread() {
    assert_eq!(
        (
            retry_delay_ms(60, 3_000, 0.0),
            retry_delay_ms(60, 3_000, 1.0)
        ),
        (60, 120)
    );
}

#[test]
fn delay_bounded() {
    assert_eq!(retry_delay_ms(500, 300, 0.5), 100);
    assert_eq!(retry_delay_ms(0, 300, 0.5), 10);
}
