use std::time::Duration;

use crate::time::ClockTime;

/// Time after which an owner is bypassed if it has sent nothing although it has sub-requests of this instance.
const SILENCE_LIMIT: Duration = Duration::from_millis(30);
/// Silence after which an owner is pinged, and minimum time between pings. No ping is needed while answers arrive
/// more often than this.
const PING_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time between pings to a bypassed owner.
const BYPASSED_PING_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks whether the owner of a shard responds to an instance that sends sub-requests to it.
///
/// Every message from the owner shows that it is alive. A bypassed owner gets only pings until it responds. A
/// sub-request that is sent to a dead owner is delayed by the silence limit and costs a token of the retry budget
/// when it is sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerHealth {
    /// Number of messages to the owner that have no reply yet.
    unanswered_count: u32,
    /// Time since which this instance waits for a message from the owner, if a message is unanswered.
    waiting_since: Option<ClockTime>,
    last_ping_at: Option<ClockTime>,
    /// Whether a message failed and the owner has sent none since.
    has_failed: bool,
}

impl OwnerHealth {
    /// Records a message sent to the owner.
    pub fn record_send(&mut self, now: ClockTime) {
        self.unanswered_count += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records a message from the owner. `is_reply` states whether it is the reply to a message of this instance.
    pub fn record_message(&mut self, now: ClockTime, is_reply: bool) {
        self.unanswered_count = self.unanswered_count.saturating_sub(u32::from(is_reply));
        self.waiting_since = (self.unanswered_count > 0).then_some(now);
        self.has_failed = false;
    }

    /// Records that a sent message timed out or that its connection broke.
    pub fn record_failure(&mut self) {
        self.unanswered_count = self.unanswered_count.saturating_sub(1);
        self.has_failed = true;
        if self.unanswered_count == 0 {
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
            .last_ping_at
            .is_some_and(|time| now.since(time) < interval);
        if !is_needed || is_recent {
            return false;
        }
        self.last_ping_at = Some(now);
        true
    }

    fn is_silent(&self, now: ClockTime, limit: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= limit)
    }
}
