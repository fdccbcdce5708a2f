use std::time::Duration;

use crate::time::ClockTime;

/// Decides when an upstream that is missing from the platform's list counts as removed.
///
/// While the platform's store is unreachable, records of live upstreams expire; upstreams write them again shortly
/// after the store's return. A record that is still missing after that time belongs to a removed upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemovalRule {
    last_outage: Option<ClockTime>,
}

/// Time after the store's return within which records of live upstreams reappear; the platform promises two
/// seconds.
const RECORD_RESTORE_TIME: Duration = Duration::from_secs(2);

impl RemovalRule {
    /// Records that the store could not be read at `now`.
    pub fn record_outage(&mut self, now: ClockTime) {
        self.last_outage = self.last_outage.max(Some(now));
    }

    /// Returns the time at which an upstream whose record is found missing at `now` counts as removed.
    pub fn removal_time(&self, now: ClockTime) -> ClockTime {
        match self.last_outage {
            Some(outage) => now.max(outage + RECORD_RESTORE_TIME),
            None => now,
        }
    }
}
