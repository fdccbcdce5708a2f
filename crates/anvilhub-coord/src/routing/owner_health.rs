use std::time::Duration;

use crate::time::ClockTime;

/// Time without any message from an owner that has work of this instance, after which it is bypassed.
const SILENCE_LIMIT: Duration = Duration::from_millis(30);
/// Time for which a silent owner is bypassed before the next sub-request tries it again.
const BYPASS_TIME: Duration = Duration::from_millis(500);

/// Whether an owning instance answers, as seen by an instance that sends sub-requests to it.
///
/// Owners acknowledge a batch at once or answer other sub-requests meanwhile; any message counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerHealth {
    outstanding: u32,
    waiting_since: Option<ClockTime>,
    bypassed_until: Option<ClockTime>,
}

impl OwnerHealth {
    /// Counts a message sent to the owner.
    pub fn sent(&mut self, now: ClockTime) {
        self.outstanding += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Counts a message from the owner; `done` says whether it ends one that was sent.
    pub fn heard(&mut self, now: ClockTime, done: bool) {
        self.outstanding = self.outstanding.saturating_sub(u32::from(done));
        self.waiting_since = (self.outstanding > 0).then_some(now);
        self.bypassed_until = None;
    }

    /// Counts a message that is no longer waited for, or whose connection broke.
    pub fn given_up(&mut self, now: ClockTime) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.bypassed_until = Some(now + BYPASS_TIME);
        if self.outstanding == 0 {
            self.waiting_since = None;
        }
    }

    /// Says whether sub-requests go directly to the upstreams at `now`.
    pub fn is_bypassed(&self, now: ClockTime) -> bool {
        let silent = self
            .waiting_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT);
        silent || self.bypassed_until.is_some_and(|until| now < until)
    }
}
