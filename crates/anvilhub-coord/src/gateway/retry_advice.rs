use std::time::Duration;

/// Minimum pause. A caller that retries sooner would be refused for the same reason.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Maximum pause that callers accept, as a fraction of their time left.
const MAX_PAUSE_FRACTION: f64 = 1.0 / 3.0;

/// Advises refused callers when to retry.
///
/// Designed for a peak of demand that a queue cannot absorb: callers retry when the queue that caused the refusal has
/// drained, spread over the same time again so that they do not all retry at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAdvice;

impl RetryAdvice {
    /// Returns the pause to advise. `drain_time` is the expected time until the queue has room, `time_left` the time
    /// until the caller's deadline, and `jitter` a random number from 0 to 1.
    pub fn pause(self, drain_time: Duration, time_left: Duration, jitter: f64) -> Duration {
        let max_pause = time_left.mul_f64(MAX_PAUSE_FRACTION);
        let pause = drain_time.mul_f64(1.0 + jitter.clamp(0.0, 1.0));
        pause.max(MIN_PAUSE).min(max_pause)
    }
}
