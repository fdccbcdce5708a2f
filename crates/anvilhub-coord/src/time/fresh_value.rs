use std::time::Duration;

use derive_more::{Display, Error};

use super::ClockTime;

/// A value with the time of its last confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshValue<T> {
    value: T,
    confirmed_at: ClockTime,
    max_age: Duration,
}

/// Why a value may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum StaleValue {
    /// Its last confirmation is too long ago.
    #[display("the value was confirmed {age:?} ago, more than {max_age:?}; read it again")]
    Expired {
        /// Time since the last confirmation.
        age: Duration,
        /// Longest time that it may be used without one.
        max_age: Duration,
    },
    /// The process was paused after the last confirmation.
    #[display("the process was paused after the value was confirmed; read it again")]
    Paused,
}

impl<T> FreshValue<T> {
    /// A value that was confirmed at `confirmed_at` and may be used for `max_age`.
    pub fn new(value: T, confirmed_at: ClockTime, max_age: Duration) -> Self {
        Self {
            value,
            confirmed_at,
            max_age,
        }
    }

    /// Notes that the value held at `now`, the time at which the confirming read was sent.
    pub fn confirm(&mut self, now: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(now);
    }

    /// The value, if it was confirmed recently and since `resumed_at`, the end of the last pause.
    ///
    /// # Errors
    ///
    /// Fails when the last confirmation is older than the limit or than the end of the last pause.
    pub fn get(&self, now: ClockTime, resumed_at: Option<ClockTime>) -> Result<&T, StaleValue> {
        if resumed_at.is_some_and(|resumed_at| self.confirmed_at < resumed_at) {
            return Err(StaleValue::Paused);
        }
        let age = now.since(self.confirmed_at);
        match age > self.max_age {
            true => Err(StaleValue::Expired {
                age,
                max_age: self.max_age,
            }),
            false => Ok(&self.value),
        }
    }

    /// The value whatever its age, for logs and for uses that verify it otherwise.
    pub fn get_unconfirmed(&self) -> &T {
        &self.value
    }
}
