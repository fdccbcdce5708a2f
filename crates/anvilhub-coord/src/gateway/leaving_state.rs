use std::time::Duration;

use crate::time::ClockTime;

/// Whether an upstream is leaving or missing from the platform's list, and when this instance learned that it leaves.
///
/// A missing upstream is used only if there is no other one, until its record is back or it counts as removed: after an
/// outage or a restore of the platform the records of live upstreams are gone for a moment. A leaving upstream that is the only one of its shard still gets requests during a grace period, in which its
/// replacement arrives. It gets none after that, because it may stop at any moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeavingState {
    /// When this instance learned that the platform's list names the upstream as leaving; `None` while it does not.
    listed_since: Option<ClockTime>,
    /// When the upstream first said in an answer that it is leaving; `None` if it never did.
    announced_at: Option<ClockTime>,
    is_missing: bool,
}

impl LeavingState {
    /// Sets whether the platform's list names the upstream as leaving, as known at `now`; returns whether this changed
    /// whether it is leaving.
    pub fn set_leaving(&mut self, now: ClockTime, is_leaving: bool) -> bool {
        let was_leaving = self.is_leaving();
        self.listed_since = is_leaving.then(|| self.listed_since.unwrap_or(now));
        self.is_leaving() != was_leaving
    }

    /// Records that the upstream said at `now` in an answer that it is leaving. No list takes that back. Returns whether
    /// it was not known.
    pub fn record_announcement(&mut self, now: ClockTime) -> bool {
        let was_leaving = self.is_leaving();
        self.announced_at = self.announced_at.or(Some(now));
        !was_leaving
    }

    /// Sets whether the upstream is missing from the platform's list; returns whether this changed the state.
    pub fn set_missing(&mut self, is_missing: bool) -> bool {
        std::mem::replace(&mut self.is_missing, is_missing) != is_missing
    }

    /// Returns whether the upstream is used only if there is no other one.
    pub fn is_last_resort(&self) -> bool {
        self.is_leaving() || self.is_missing
    }

    /// Returns whether the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since().is_some()
    }

    /// Returns whether the upstream may still get requests: it is not leaving, or `grace_period` has not passed since
    /// this instance learned that it is.
    pub fn is_usable(&self, now: ClockTime, grace_period: Duration) -> bool {
        self.usable_until(grace_period).is_none_or(|end| now < end)
    }

    /// Returns the time from which the upstream gets no more requests; `None` while it is not leaving.
    pub fn usable_until(&self, grace_period: Duration) -> Option<ClockTime> {
        self.leaving_since().map(|since| since + grace_period)
    }

    fn leaving_since(&self) -> Option<ClockTime> {
        let known = [self.listed_since, self.announced_at];
        known.into_iter().flatten().min()
    }
}
