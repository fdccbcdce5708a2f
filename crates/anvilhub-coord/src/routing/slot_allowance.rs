use std::time::Duration;

use crate::ids::SlotCount;

/// Computes how many sub-requests an owner keeps in flight at a replica so that all of its slots are used.
///
/// After the end of a sub-request, a slot is idle for a round trip until the next one arrives, unless that one is
/// already queued at the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAllowance {
    /// Maximum round-trip time between an owner and a replica.
    pub max_round_trip: Duration,
}

impl Default for SlotAllowance {
    fn default() -> Self {
        Self {
            max_round_trip: Duration::from_millis(3),
        }
    }
}

impl SlotAllowance {
    /// Returns how many sub-requests may be in flight at a replica with `slots`, at most twice the slots.
    ///
    /// `median_latency` includes the round trip. When sub-requests queue at the replica, this latency grows and the
    /// result shrinks.
    pub fn max_in_flight(self, slots: SlotCount, median_latency: Duration) -> SlotCount {
        let service_seconds = median_latency
            .saturating_sub(self.max_round_trip)
            .as_secs_f64();
        let upper_bound = slots.get().saturating_mul(2);
        if service_seconds <= 0.0 {
            return SlotCount(upper_bound);
        }
        let idle_ratio = self.max_round_trip.as_secs_f64() / service_seconds;
        let needed = (f64::from(slots.get()) * (1.0 + idle_ratio)).ceil() as u32;
        SlotCount(needed.min(upper_bound))
    }
}
