use std::time::Duration;

use super::SlotLoad;
use crate::time::ClockTime;

/// Number of requests of lower priorities that may wait at the upstream: one covers the time between an answer and the next
/// request.
const MAX_QUEUED: u32 = 1;
/// Age from which a reported load is ignored, since slots turn over within milliseconds.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);

/// Decides how many requests an instance may have in flight to one upstream before it holds lower priorities back.
///
/// Designed for urgent requests that arrive at upstreams whose queues are full of less urgent ones. An upstream serves its
/// queue in the order of arrival, so that a request can be overtaken only before it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendWindow {
    /// Connections of this instance to the upstream.
    capacity: u32,
    /// Number of requests that the upstream runs at once.
    slots: u32,
    /// When the upstream last reported its load, and how many requests of other instances it had.
    others: Option<(ClockTime, u32)>,
}

impl SendWindow {
    pub(super) fn new(capacity: u32, slots: u32) -> Self {
        Self {
            capacity,
            slots,
            others: None,
        }
    }

    /// Records a load that the upstream reports while this instance has `own` requests in flight there.
    pub(super) fn record_load(&mut self, now: ClockTime, load: SlotLoad, own: u32) {
        let reported = load.running.saturating_add(load.waiting);
        self.others = Some((now, reported.saturating_sub(own)));
    }

    /// Returns whether a request of a lower priority may be sent while `own` requests of this instance are in flight, of
    /// which `lower` are of lower priorities.
    ///
    /// One may always be, so that a request that is held back has another one before it, whose end is the occasion to
    /// look again. One connection is kept free for higher priorities.
    pub(super) fn admits_lower(&self, now: ClockTime, own: u32, lower: u32) -> bool {
        if lower == 0 {
            return true;
        }
        let fresh = self
            .others
            .filter(|(time, _)| now.since(*time) < MAX_LOAD_AGE);
        let others = fresh.map_or(0, |(_, count)| count);
        let has_reserve = lower + 1 < self.capacity;
        has_reserve && own.saturating_add(others) < self.slots.saturating_add(MAX_QUEUED)
    }
}
