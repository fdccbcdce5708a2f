use std::time::Duration;

/// Shortest useful pause: below it a caller returns before anything has changed.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Share of the time left that callers are willing to pause.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// When a caller that is turned away should return.
///
/// Answers the load pattern of a crest that a queue cannot absorb: callers return when the queue that turned them
/// away has drained, spread over the same time again so that they do not return together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAdvice;

impl RetryAdvice {
    /// The pause to advise. `drained` is when the queue is expected to have room, `left` the caller's time left,
    /// `spread` a random number from 0 to 1.
    pub fn pause(self, drained: Duration, left: Duration, spread: f64) -> Duration {
        let most = left.mul_f64(HONOURED_SHARE);
        let pause = drained.mul_f64(1.0 + spread.clamp(0.0, 1.0));
        pause.max(LEAST_PAUSE).min(most)
    }
}
