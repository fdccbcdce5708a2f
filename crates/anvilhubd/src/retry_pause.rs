use std::time::Duration;

use rand::Rng;

/// First pause after a failed read of the platform.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause: 1,900 instances that retry make at most 950 calls a second, below the platform's 2,000.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Exponential backoff with jitter between failed reads of the platform.
///
/// Half of each pause is random, so that the instances do not all read at once when the platform recovers.
#[derive(Debug)]
pub(crate) struct RetryPause {
    first: Duration,
    max: Duration,
    /// The next pause before jitter.
    next: Duration,
}

impl Default for RetryPause {
    fn default() -> Self {
        Self::new(FIRST_PAUSE, MAX_PAUSE)
    }
}

impl RetryPause {
    /// Creates a backoff whose pauses double from `first` to `max`.
    pub(crate) fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            next: first.min(max),
        }
    }

    /// Returns the pause after a failed read, and doubles the one after it.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Starts again with the first pause after a successful read.
    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.first, self.max);
    }
}
