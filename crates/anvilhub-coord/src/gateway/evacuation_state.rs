use std::time::Duration;

use crate::time::ClockTime;

/// Minimum wait that is expected of an order. Orders last for seconds at least, unless they are revoked at once.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait that is expected of an order, so that callers return soon after a long one has ended.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Whether a failure domain is evacuated: the operator has ordered that its upstreams get no requests.
///
/// Designed for orders that last for seconds to minutes and do not say how long, while callers need shards that have no
/// other copies. A caller is told to return after as long as the order has lasted already: a short order delays it
/// little, and a long one is not met by a stream of requests that must be refused again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// When this instance learned of the order; `None` while there is none.
    since: Option<ClockTime>,
}

impl EvacuationState {
    /// Sets whether there is an order, as known at `now`; returns whether this changed the state. An order that is
    /// repeated goes on.
    pub fn set_evacuated(&mut self, now: ClockTime, is_evacuated: bool) -> bool {
        let was_evacuated = self.is_evacuated();
        self.since = is_evacuated.then(|| self.since.unwrap_or(now));
        was_evacuated != is_evacuated
    }

    /// Returns whether there is an order.
    pub fn is_evacuated(&self) -> bool {
        self.since.is_some()
    }

    /// Returns for how long this instance has known of the order; `None` while there is none.
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }

    /// Returns the expected time until the order ends; zero while there is none.
    pub fn expected_wait(&self, now: ClockTime) -> Duration {
        self.age(now)
            .map_or(Duration::ZERO, |age| age.clamp(MIN_WAIT, MAX_WAIT))
    }
}
