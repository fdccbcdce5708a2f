use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::FailureKind;
use anvilhub_coord::time::ClockTime;

use log::{info, warn};

use crate::clock::DaemonClock;

use super::TrackedUpstream;

/// Keeps an attempt counted at its upstream until it ends; an attempt that is dropped counts as abandoned.
pub(super) struct AttemptGuard {
    node: Arc<TrackedUpstream>,
    clock: DaemonClock,
    sent: ClockTime,
    usual: Duration,
    is_open: bool,
}

impl AttemptGuard {
    pub(super) fn new(node: Arc<TrackedUpstream>, clock: DaemonClock, usual: Duration) -> Self {
        let sent = clock.now();
        node.stats.with(|stats| stats.record_send(sent));
        Self {
            node,
            clock,
            sent,
            usual,
            is_open: true,
        }
    }

    pub(super) fn answered(mut self) {
        let now = self.clock.now();
        self.is_open = false;
        let is_back = self
            .node
            .stats
            .with(|stats| stats.record_answer(now, self.sent, self.usual));
        if is_back {
            let entry = &self.node.entry;
            info!(upstream:% = entry.id, service:% = entry.service; "upstream answers again");
        }
    }

    pub(super) fn refused(mut self) {
        let now = self.clock.now();
        self.is_open = false;
        self.node
            .stats
            .with(|stats| stats.record_refusal(now, self.sent));
    }

    pub(super) fn failed(mut self, kind: FailureKind) {
        let now = self.clock.now();
        self.is_open = false;
        let rest = self
            .node
            .stats
            .with(|stats| stats.record_failure(now, self.sent, kind));
        if let Some(rest) = rest {
            let entry = &self.node.entry;
            warn!(
                upstream:% = entry.id, service:% = entry.service, kind:? = kind,
                waited_ms = now.since(self.sent).as_millis() as u64, rest_ms = rest.as_millis() as u64;
                "upstream rests after failures"
            );
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let now = self.clock.now();
        self.node
            .stats
            .with(|stats| stats.record_abandoned(now, self.sent, self.usual));
    }
}
