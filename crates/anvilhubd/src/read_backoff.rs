use std::time::Duration;

use rand::Rng;

/// Pause after the first failed read of the platform, before jitter.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause: 1,900 instances that retry make at most 950 calls a second, below the platform's 2,000.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Exponential backoff with jitter between failed reads of the platform.
///
/// Half of each pause is random, so that the instances do not all read at once when the platform recovers.
#[derive(Debug)]
pub(crate) struct ReadBackoff {
    min_pause: Duration,
    max_pause: Duration,
    /// The next pause before jitter.
    next_pause: Duration,
}

impl Default for ReadBackoff {
    fn default() -> Self {
        Self::new(MIN_PAUSE, MAX_PAUSE)
    }
}

impl ReadBackoff {
    /// Creates a backoff whose pauses double from `min_pause` to `max_pause`.
    pub(crate) fn new(min_pause: Duration, max_pause: Duration) -> Self {
        Self {
            min_pause,
            max_pause,
            next_pause: min_pause.min(max_pause),
        }
    }

    /// Returns the pause after a failed read, and doubles the one after it.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = self.next_pause;
        self.next_pause = (pause * 2).min(self.max_pause);
        pause.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Starts again with the first pause after a successful read.
    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.min_pause, self.max_pause);
    }
}
