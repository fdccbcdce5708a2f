use std::time::Duration;

/// Minimum delay. A caller that retries sooner would be refused for the same reason.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay that callers accept, as a fraction of their time left.
const MAX_RETRY_DELAY_FRACTION: f64 = 1.0 / 3.0;

/// Advises refused callers when to retry.
///
/// Designed for a peak of demand that a queue cannot absorb: callers retry when the queue that caused the refusal has
/// drained, spread over the same time again so that they do not all retry at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAdvice;

impl RetryAdvice {
    /// Returns the delay to advise. `drain_time` is the expected time until the queue has room, `time_left` the time
    /// until the caller's deadline, and `jitter` a random number from 0 to 1.
    pub fn retry_delay(self, drain_time: Duration, time_left: Duration, jitter: f64) -> Duration {
        let max_delay = time_left.mul_f64(MAX_RETRY_DELAY_FRACTION);
        let delay = drain_time.mul_f64(1.0 + jitter.clamp(0.0, 1.0));
        delay.max(MIN_RETRY_DELAY).min(max_delay)
    }
}
