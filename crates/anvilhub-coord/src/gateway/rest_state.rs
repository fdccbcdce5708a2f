use std::time::Duration;

use crate::time::ClockTime;

/// Maximum length of a rest, whatever the upstream asks for.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// The time for which an upstream has asked not to get requests.
///
/// Designed for an upstream in trouble that turns requests away and names the time that it needs: retries, hedges and
/// probes in that time would keep it from recovering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestState {
    until: Option<ClockTime>,
}

impl RestState {
    /// Records that the upstream asks at `now` for a rest of this length. Of several rests the one that ends last counts.
    /// Returns whether the upstream was not resting.
    pub fn record(&mut self, now: ClockTime, rest: Duration) -> bool {
        let begins = !rest.is_zero() && !self.is_resting(now);
        self.until = self.until.max(Some(now + rest.min(MAX_REST)));
        begins
    }

    /// Returns whether the upstream may get no requests now.
    pub fn is_resting(&self, now: ClockTime) -> bool {
        !self.time_left(now).is_zero()
    }

    /// Returns the time until the upstream may get requests again; zero if it is not resting.
    pub fn time_left(&self, now: ClockTime) -> Duration {
        self.until.unwrap_or_default().since(now)
    }
}
