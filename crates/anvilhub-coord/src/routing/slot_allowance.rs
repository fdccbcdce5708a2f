use std::time::Duration;

use crate::ids::SlotCount;

/// How many sub-requests an owner keeps at a replica to use all of its slots.
///
/// A slot idles from the end of one sub-request until the next one arrives, a round trip later, unless the
/// next one already waits at the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAllowance {
    /// Longest round trip between an owner and a replica.
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
    /// Sub-requests in flight for a replica with `slots`, at most twice as many.
    ///
    /// `usual` is the median latency including the round trip; when sub-requests wait at the replica it grows
    /// and the allowance shrinks.
    pub fn max_in_flight(self, slots: SlotCount, usual: Duration) -> SlotCount {
        let at_replica = usual.saturating_sub(self.round_trip).as_secs_f64();
        let most = slots.get().saturating_mul(2);
        if at_replica <= 0.0 {
            return SlotCount(most);
        }
        let idle = self.round_trip.as_secs_f64() / at_replica;
        let needed = (f64::from(slots.get()) * (1.0 + idle)).ceil() as u32;
        SlotCount(needed.min(most))
    }
}
