use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::FailureKind;
use anvilhub_coord::time::ClockTime;

use log::{info, warn};

use crate::daemon_clock::DaemonClock;

use super::TrackedUpstream;

/// Counts an attempt as in flight in the upstream's statistics until it ends. A guard that is dropped before that
/// counts the attempt as abandoned.
pub(super) struct AttemptGuard {
    upstream: Arc<TrackedUpstream>,
    clock: DaemonClock,
    sent_at: ClockTime,
    typical_latency: Duration,
    is_in_flight: bool,
}

impl AttemptGuard {
    /// Records that an attempt is sent now. `typical_latency` is that of the route.
    pub(super) fn new(
        upstream: Arc<TrackedUpstream>,
        clock: DaemonClock,
        typical_latency: Duration,
    ) -> Self {
        let sent_at = clock.now();
        upstream.stats.with(|stats| stats.record_send(sent_at));
        Self {
            upstream,
            clock,
            sent_at,
            typical_latency,
            is_in_flight: true,
        }
    }

    /// Ends the attempt with an answer.
    pub(super) fn record_answer(mut self) {
        let now = self.clock.now();
        self.is_in_flight = false;
        let was_suspect = self
            .upstream
            .stats
            .with(|stats| stats.record_answer(now, self.sent_at, self.typical_latency));
        if was_suspect {
            let record = &self.upstream.record;
            info!(upstream:% = record.id, service:% = record.service; "upstream answers again");
        }
    }

    /// Ends the attempt with the statement of the upstream that the request did not run.
    pub(super) fn record_refusal(mut self) {
        let now = self.clock.now();
        self.is_in_flight = false;
        self.upstream
            .stats
            .with(|stats| stats.record_refusal(now, self.sent_at));
    }

    /// Ends the attempt with a failure; logs the cooldown if one follows.
    pub(super) fn record_failure(mut self, kind: FailureKind) {
        let now = self.clock.now();
        self.is_in_flight = false;
        let cooldown = self
            .upstream
            .stats
            .with(|stats| stats.record_failure(now, self.sent_at, kind));
        if let Some(cooldown) = cooldown {
            let record = &self.upstream.record;
            warn!(
                upstream:% = record.id, service:% = record.service, kind:? = kind,
                waited_ms = now.since(self.sent_at).as_millis() as u64, rest_ms = cooldown.as_millis() as u64;
                "upstream rests after failures"
            );
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_in_flight {
            return;
        }
        let now = self.clock.now();
        self.upstream
            .stats
            .with(|stats| stats.record_abandoned(now, self.sent_at, self.typical_latency));
    }
}
