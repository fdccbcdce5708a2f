use std::time::Duration;

use crate::time::ClockTime;

/// Computes when the platform last answered, from what a reader tells a follower.
///
/// Designed for instances that are cut off from the platform together and follow each other: the time that an answer
/// was on its way counts as age, so that a value never becomes younger by being passed on in a circle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactEstimate {
    /// When the follower sent its call.
    pub sent_at: ClockTime,
    /// When the reader's answer arrived.
    pub received_at: ClockTime,
    /// How long the reader held the call before it answered.
    pub held: Duration,
    /// Time since the platform's last answer when the reader answered.
    pub age: Duration,
}

impl ContactEstimate {
    /// Returns the earliest time at which the platform's last answer can have arrived at the reader.
    pub fn earliest_contact(&self) -> ClockTime {
        let answered_at = (self.sent_at + self.held).min(self.received_at);
        answered_at - self.age
    }
}
