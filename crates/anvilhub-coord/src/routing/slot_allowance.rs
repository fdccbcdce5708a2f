use std::time::Duration;

use crate::ids::SlotCount;

/// Computes how many sub-requests an owner keeps in flight at a replica so that all of its slots are used.
///
/// After the end of a sub-request, a slot is idle for a round trip until the next one arrives, unless that one is
/// already queued at the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAllowance {
    /// Maximum round-trip time between an owner and a replica.
    pub round_trip: Duration,
}

impl Default for SlotAllowance {
    fn default() -> Self {
        Self {
            round_trip: Duration::from_millis(3),
        }
    }
}

impl SlotAllowance {
    /// Returns how many sub-requests may be in flight at a replica with `slots`, at most twice the slots.
    ///
    /// `typical_latency` is the median latency with the round trip. It grows when sub-requests queue at the
    /// replica, and the allowance shrinks.
    pub fn max_in_flight(self, slots: SlotCount, typical_latency: Duration) -> SlotCount {
        let at_replica = typical_latency
            .saturating_sub(self.round_trip)
            .as_secs_f64();
        let max = slots.get().saturating_mul(2);
        if at_replica <= 0.0 {
            return SlotCount(max);
        }
        let idle_ratio = self.round_trip.as_secs_f64() / at_replica;
        let needed = (f64::from(slots.get()) * (1.0 + idle_ratio)).ceil() as u32;
        SlotCount(needed.min(max))
    }
}
