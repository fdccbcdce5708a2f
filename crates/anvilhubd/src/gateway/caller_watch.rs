use anvilhub_coord::time::ClockTime;
use hyper::header::HeaderValue;
use log::info;

use crate::daemon_clock::DaemonClock;

/// Notices that the caller closes its connection before its request is answered: the server then drops the request's
/// handler, and the watch with it.
pub(super) struct CallerWatch {
    clock: DaemonClock,
    arrived_at: ClockTime,
    request_id: Option<HeaderValue>,
    is_answered: bool,
}

impl CallerWatch {
    /// Starts to watch the caller of a request that arrived at `arrived_at`.
    pub(super) fn new(
        clock: DaemonClock,
        arrived_at: ClockTime,
        request_id: Option<HeaderValue>,
    ) -> Self {
        Self {
            clock,
            arrived_at,
            request_id,
            is_answered: false,
        }
    }

    /// Records that the response is ready.
    pub(super) fn record_answer(mut self) {
        self.is_answered = true;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let request_id = self.request_id.as_ref();
        let request_id = request_id
            .map(|id| String::from_utf8_lossy(id.as_bytes()))
            .unwrap_or_default();
        let waited_ms = self.clock.now().since(self.arrived_at).as_millis() as u64;
        metrics::counter!("anvilhub_callers_left_total").increment(1);
        info!(request:% = request_id, waited_ms; "caller left");
    }
}
