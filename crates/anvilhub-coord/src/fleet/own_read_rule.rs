use std::time::Duration;

use crate::time::ClockTime;

/// Decides when an instance reads the platform itself, whatever other instances say of the platform.
///
/// Designed for a fleet whose usual readers are all cut off from the platform while the other instances are not. An
/// instance that looked for a current reader among them would go on asking one after the other, since each answers that
/// the platform is unreachable and is due to be asked again before the last one has answered. The age of the values
/// bounds this search, however many readers there are and however long each of them takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnReadRule {
    /// Time since the platform's last answer from which an instance reads the platform itself. It is also the time for
    /// which its own successful read outweighs what others say.
    pub max_unconfirmed: Duration,
}

impl OwnReadRule {
    /// Returns whether a read is due. `last_contact` is the time of the platform's last answer as far as it can be
    /// proved, `None` if it never answered since the clock's start, and `not_before` the end of the pause after a failed
    /// read.
    pub fn is_due(
        &self,
        now: ClockTime,
        last_contact: Option<ClockTime>,
        not_before: Option<ClockTime>,
    ) -> bool {
        self.time_until_due(now, last_contact, not_before).is_zero()
    }

    /// Returns the time until a read is due, for which the instance may wait for others. Takes the arguments of `is_due`.
    pub fn time_until_due(
        &self,
        now: ClockTime,
        last_contact: Option<ClockTime>,
        not_before: Option<ClockTime>,
    ) -> Duration {
        let unconfirmed_at = last_contact.unwrap_or_default() + self.max_unconfirmed;
        unconfirmed_at
            .max(not_before.unwrap_or_default())
            .since(now)
    }

    /// Returns whether this instance's own last successful read shows that the platform can be reached, so that other
    /// instances that cannot reach it are cut off from it.
    pub fn outweighs_others(&self, now: ClockTime, last_own_read: Option<ClockTime>) -> bool {
        last_own_read.is_some_and(|read| now.since(read) < self.max_unconfirmed)
    }
}
