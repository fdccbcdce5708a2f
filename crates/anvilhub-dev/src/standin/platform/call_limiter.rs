use std::time::Instant;

use anvilhub_coord::ids::CallRate;
use serde::Serialize;

/// Default limit of calls per second, over all readers.
pub(crate) const DEFAULT_CALL_RATE: CallRate = CallRate(2_000.0);

/// Token bucket shared by all readers. Its capacity is the calls of one second.
#[derive(Debug)]
pub(crate) struct CallLimiter {
    rate: CallRate,
    tokens: f64,
    refilled_at: Instant,
    counts: CallCounts,
}

/// Calls since the start. A watch counts as one call, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallCounts {
    /// Calls within the limit.
    pub(crate) admitted: u64,
    /// Calls refused with status 429.
    pub(crate) limited: u64,
}

impl CallLimiter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: DEFAULT_CALL_RATE,
            tokens: DEFAULT_CALL_RATE.0,
            refilled_at: now,
            counts: CallCounts::default(),
        }
    }

    /// Counts a call and returns whether it is within the limit.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate.0;
        self.tokens = refilled.min(self.capacity());
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.counts.limited += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.counts.admitted += 1;
        true
    }

    pub(crate) fn set_rate(&mut self, rate: CallRate) {
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    pub(crate) fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns the capacity of the bucket. It is at least 1; otherwise a rate below one call per second would admit
    /// no calls at all.
    fn capacity(&self) -> f64 {
        self.rate.0.max(1.0)
    }
}
