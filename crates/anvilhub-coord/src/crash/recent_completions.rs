use std::collections::HashMap;

use crate::ids::RequestFingerprint;
use crate::time::ClockTime;

/// Number of requests in each half of the memory.
const MAX_HALF_LEN: usize = 2_048;

/// The requests that upstreams last ran to their end. The older half is forgotten when the newer one is full.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCompletions {
    newer: HashMap<RequestFingerprint, ClockTime>,
    older: HashMap<RequestFingerprint, ClockTime>,
}

impl RecentCompletions {
    pub(super) fn record(&mut self, now: ClockTime, fingerprint: RequestFingerprint) {
        if self.newer.len() >= MAX_HALF_LEN && !self.newer.contains_key(&fingerprint) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, now);
    }

    /// Returns when the request was last run to its end, as far as this is remembered.
    pub(super) fn completed_at(&self, fingerprint: &RequestFingerprint) -> Option<ClockTime> {
        let newer = self.newer.get(fingerprint);
        newer.or_else(|| self.older.get(fingerprint)).copied()
    }
}
