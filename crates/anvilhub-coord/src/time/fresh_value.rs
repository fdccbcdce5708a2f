use std::time::Duration;

use derive_more::{Display, Error};

use super::ClockTime;

/// A value that may be used for a limited time after it was last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshValue<T> {
    value: T,
    confirmed_at: ClockTime,
    max_age: Duration,
}

/// Why a value must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum StaleError {
    /// The value was last confirmed too long ago.
    #[display("the value was confirmed {age:?} ago, more than {max_age:?}; read it again")]
    Expired {
        /// Time since the last confirmation.
        age: Duration,
        /// Maximum time since the last confirmation.
        max_age: Duration,
    },
    /// The process was paused after the value was last confirmed.
    #[display("the process was paused after the value was confirmed; read it again")]
    Paused,
}

impl<T> FreshValue<T> {
    /// Creates a value that was confirmed at `confirmed_at` and may be used for `max_age` after that.
    pub fn new(value: T, confirmed_at: ClockTime, max_age: Duration) -> Self {
        Self {
            value,
            confirmed_at,
            max_age,
        }
    }

    /// Records that a read confirmed the value. `read_at` is the time at which the read was sent, since the value may
    /// have changed after that.
    pub fn confirm(&mut self, read_at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(read_at);
    }

    /// Returns the value if it was confirmed recently and not before `resumed_at`, the end of the last pause.
    ///
    /// # Errors
    ///
    /// Fails if the last confirmation is older than the maximum age or than the end of the last pause.
    pub fn get(&self, now: ClockTime, resumed_at: Option<ClockTime>) -> Result<&T, StaleError> {
        if resumed_at.is_some_and(|resumed_at| self.confirmed_at < resumed_at) {
            return Err(StaleError::Paused);
        }
        let age = now.since(self.confirmed_at);
        match age > self.max_age {
            true => Err(StaleError::Expired {
                age,
                max_age: self.max_age,
            }),
            false => Ok(&self.value),
        }
    }

    /// Returns the value whatever its age, for logs and for code that verifies it in another way.
    pub fn get_unconfirmed(&self) -> &T {
        &self.value
    }
}
