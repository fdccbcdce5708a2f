use std::time::Duration;

use crate::time::ClockTime;

/// An owner is bypassed if it sends nothing for this time while it has requests of this instance.
const SILENCE_LIMIT: Duration = Duration::from_millis(30);
/// Silence after which an owner is pinged, and minimum time between pings. No ping is needed while answers arrive
/// more often than this.
const PING_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time between pings to a bypassed owner.
const BYPASSED_PING_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks whether an owner responds to an instance that sends sub-requests to it.
///
/// Every message from the owner counts as a sign of life. A bypassed owner gets nothing but pings until it
/// responds: a sub-request sent to a dead owner loses the time of the silence limit and takes a token of the
/// retry budget to be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerHealth {
    outstanding: u32,
    waiting_since: Option<ClockTime>,
    last_ping: Option<ClockTime>,
    has_failed: bool,
}

impl OwnerHealth {
    /// Records a message sent to the owner.
    pub fn record_send(&mut self, now: ClockTime) {
        self.outstanding += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records a message from the owner. `is_reply` is true if it is the reply to a message that was sent.
    pub fn record_message(&mut self, now: ClockTime, is_reply: bool) {
        self.outstanding = self.outstanding.saturating_sub(u32::from(is_reply));
        self.waiting_since = (self.outstanding > 0).then_some(now);
        self.has_failed = false;
    }

    /// Records that a sent message timed out or that its connection broke.
    pub fn record_failure(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.has_failed = true;
        if self.outstanding == 0 {
            self.waiting_since = None;
        }
    }

    /// Returns whether sub-requests are to bypass the owner at `now` and go directly to the upstreams.
    pub fn is_bypassed(&self, now: ClockTime) -> bool {
        self.has_failed || self.is_silent(now, SILENCE_LIMIT)
    }

    /// Returns whether to ping the owner at `now`, and records the ping if so. Call this while sub-requests wait
    /// for the owner and for each one that bypasses it.
    #[must_use]
    pub fn begin_ping(&mut self, now: ClockTime) -> bool {
        let interval = match self.is_bypassed(now) {
            true => BYPASSED_PING_INTERVAL,
            false => PING_INTERVAL,
        };
        let is_needed = self.has_failed || self.is_silent(now, PING_INTERVAL);
        let is_recent = self
            .last_ping
            .is_some_and(|time| now.since(time) < interval);
        if !is_needed || is_recent {
            return false;
        }
        self.last_ping = Some(now);
        true
    }

    fn is_silent(&self, now: ClockTime, limit: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= limit)
    }
}
