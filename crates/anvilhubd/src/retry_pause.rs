use std::time::Duration;

use rand::Rng;

/// First pause after a failed read of the platform.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause: 1,900 instances that retry make at most 950 calls a second, below the platform's 2,000.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Pauses between failed reads of the platform. They double, and half of each is random, so that a platform that
/// returns is not met by all instances at once.
#[derive(Debug)]
pub(crate) struct RetryPause {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Default for RetryPause {
    fn default() -> Self {
        Self::between(FIRST_PAUSE, LONGEST_PAUSE)
    }
}

impl RetryPause {
    /// Pauses that double from `first` to `longest`.
    pub(crate) fn between(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first.min(longest),
        }
    }

    /// The pause before the next read.
    pub(crate) fn failed(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Notes that a read succeeded.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::between(self.first, self.longest);
    }
}
