use std::time::Duration;

use crate::time::ClockTime;

/// Decides when an upstream that is missing from the list is taken as gone.
///
/// While the list's store is away, entries of upstreams that are alive lapse; they are back shortly after its
/// return. An entry that is missing later than that is gone.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemovalRule {
    away_until: Option<ClockTime>,
}

/// Time after the store's return within which entries of live upstreams come back; the platform promises two
/// seconds.
const RETURN_TIME: Duration = Duration::from_secs(2);

impl RemovalRule {
    /// Notes that the store could not be read at `now`.
    pub fn store_away(&mut self, now: ClockTime) {
        self.away_until = self.away_until.max(Some(now));
    }

    /// Time at which an entry that is found missing at `now` counts as gone.
    pub fn gone_at(&self, now: ClockTime) -> ClockTime {
        match self.away_until {
            Some(until) => now.max(until + RETURN_TIME),
            None => now,
        }
    }
}
