use std::time::Duration;

use crate::time::ClockTime;

/// Time without any message from an owner that has work of this instance, after which it is bypassed.
const SILENCE_LIMIT: Duration = Duration::from_millis(30);
/// Least silence before a ping, and least time between pings: answers show life often enough otherwise.
const PING_INTERVAL: Duration = Duration::from_millis(10);
/// Least time between pings to a bypassed owner.
const BYPASSED_PING_INTERVAL: Duration = Duration::from_millis(100);

/// Whether an owning instance answers, as seen by an instance that sends sub-requests to it.
///
/// Any message counts. A bypassed owner gets pings alone until it answers: a sub-request that tries a dead owner
/// loses the silence limit and needs budget to be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerHealth {
    outstanding: u32,
    waiting_since: Option<ClockTime>,
    pinged: Option<ClockTime>,
    given_up: bool,
}

impl OwnerHealth {
    /// Counts a message sent to the owner.
    pub fn record_send(&mut self, now: ClockTime) {
        self.outstanding += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Counts a message from the owner; `done` says whether it ends one that was sent.
    pub fn record_message(&mut self, now: ClockTime, done: bool) {
        self.outstanding = self.outstanding.saturating_sub(u32::from(done));
        self.waiting_since = (self.outstanding > 0).then_some(now);
        self.given_up = false;
    }

    /// Counts a message that is no longer waited for, or whose connection broke.
    pub fn record_failure(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.given_up = true;
        if self.outstanding == 0 {
            self.waiting_since = None;
        }
    }

    /// Says whether sub-requests go directly to the upstreams at `now`.
    pub fn is_bypassed(&self, now: ClockTime) -> bool {
        self.given_up || self.is_silent(now, SILENCE_LIMIT)
    }

    /// Says whether to ping the owner at `now`, and counts the ping if so. Call it for waiting sub-requests and for
    /// those that bypass the owner.
    #[must_use]
    pub fn begin_ping(&mut self, now: ClockTime) -> bool {
        let interval = match self.is_bypassed(now) {
            true => BYPASSED_PING_INTERVAL,
            false => PING_INTERVAL,
        };
        let needed = self.given_up || self.is_silent(now, PING_INTERVAL);
        let recent = self.pinged.is_some_and(|time| now.since(time) < interval);
        if !needed || recent {
            return false;
        }
        self.pinged = Some(now);
        true
    }

    fn is_silent(&self, now: ClockTime, limit: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= limit)
    }
}
