use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhub_coord::gateway::{LeavingState, RankedReplica, ReplicaStats, UpstreamRecord};
use anvilhub_coord::limit::{SendPermit, UpstreamProcess};
use anvilhub_coord::time::ClockTime;
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::pool::UpstreamConnection;
use crate::routes::LockCell;

use super::{GatewaySettings, IdleConnections};

/// One process of an upstream: the record that it announced, what this instance observed of it, and the connections to
/// it.
pub(super) struct TrackedUpstream {
    pub(super) record: UpstreamRecord,
    /// Which process the record describes.
    pub(super) process: UpstreamProcess,
    pub(super) stats: LockCell<ReplicaStats>,
    pub(super) idle_connections: LockCell<IdleConnections>,
    /// One permit for each connection that this instance may use at once.
    pub(super) connection_permits: Semaphore,
    leaving_state: LockCell<LeavingState>,
    /// Whether the upstream was removed, or its address belongs to another one.
    is_removed: AtomicBool,
    /// Wakes attempts that wait for a connection when the upstream begins to leave or is removed.
    state_changed: Notify,
}

impl TrackedUpstream {
    pub(super) fn new(record: UpstreamRecord, max_connections: usize) -> Self {
        Self {
            process: record.process(),
            record,
            stats: LockCell::default(),
            idle_connections: LockCell::default(),
            connection_permits: Semaphore::new(max_connections),
            leaving_state: LockCell::default(),
            is_removed: AtomicBool::new(false),
            state_changed: Notify::new(),
        }
    }

    /// Sets whether the upstream announced that it is leaving, and whether it is missing from the platform's list;
    /// returns whether this changed.
    pub(super) fn set_leaving(&self, now: ClockTime, is_leaving: bool, is_missing: bool) -> bool {
        let has_changed = self.leaving_state.with(|state| {
            let has_changed = state.set_leaving(now, is_leaving);
            state.set_missing(is_missing) || has_changed
        });
        if has_changed {
            self.state_changed.notify_waiters();
        }
        has_changed
    }

    /// Records that the upstream was removed or that its address belongs to another one: it gets no more requests.
    pub(super) fn mark_removed(&self) {
        self.is_removed.store(true, Ordering::Relaxed);
        self.state_changed.notify_waiters();
    }

    /// Returns whether a request may be sent now: the upstream was not removed, and if it is leaving, `grace_period` has
    /// not passed since this instance learned of that.
    pub(super) fn is_usable(&self, now: ClockTime, grace_period: Duration) -> bool {
        let is_staying = self
            .leaving_state
            .with(|state| state.is_usable(now, grace_period));
        is_staying && !self.is_removed()
    }

    /// Waits until no request may be sent any more.
    pub(super) async fn wait_unusable(&self, clock: DaemonClock, grace_period: Duration) {
        loop {
            let changed = self.state_changed.notified();
            let now = clock.now();
            if !self.is_usable(now, grace_period) {
                return;
            }
            let end = self
                .leaving_state
                .with(|state| state.usable_until(grace_period));
            let time_left = end.map_or(Duration::MAX, |end| end.since(now));
            // Both a change and the end of the time are reasons to look again.
            let _ = timeout(time_left, changed).await;
        }
    }

    pub(super) fn is_removed(&self) -> bool {
        self.is_removed.load(Ordering::Relaxed)
    }

    /// Opens a connection within `max_time` and counts it in the metrics.
    ///
    /// # Errors
    ///
    /// Fails with the reason, for the log, if the connection cannot be opened in time.
    pub(super) async fn open_connection(
        &self,
        max_time: Duration,
    ) -> Result<UpstreamConnection, String> {
        let opening = UpstreamConnection::open(self.record.address);
        match timeout(max_time, opening).await {
            Ok(Ok(connection)) => {
                metrics::counter!("anvilhub_upstream_connections_total").increment(1);
                Ok(connection)
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("connecting timed out".to_owned()),
        }
    }

    /// Returns whether a connection should be opened in advance: there is no idle one, no attempt is in flight, and the
    /// upstream is neither leaving nor in a cooldown.
    pub(super) fn needs_connection(&self, now: ClockTime) -> bool {
        let is_busy = self
            .stats
            .with(|stats| stats.in_flight() > 0 || stats.is_cooling_down(now));
        let is_leaving =
            self.is_removed() || self.leaving_state.with(|state| state.is_last_resort());
        !is_busy
            && !is_leaving
            && self
                .idle_connections
                .with(|idle_connections| idle_connections.is_empty())
    }

    /// Returns this upstream as a candidate for an attempt of a sub-request. `permit` is whether its limit has room, and
    /// `was_tried` whether an earlier attempt was sent to it.
    pub(super) fn to_candidate(
        &self,
        now: ClockTime,
        typical_latency: Duration,
        settings: &GatewaySettings,
        permit: SendPermit,
        was_tried: bool,
    ) -> RankedReplica {
        let is_leaving = self.leaving_state.with(|state| state.is_last_resort());
        let is_usable = self.is_usable(now, settings.leaving_grace_period);
        let slots = self.record.slots.get();
        let (cost, queue_rounds, is_cooling_down) = self.stats.with(|stats| {
            let cost = stats.cost(now, typical_latency, slots);
            (
                cost,
                stats.queue_rounds(now, slots),
                stats.is_cooling_down(now),
            )
        });
        RankedReplica {
            cost,
            queue_rounds,
            is_cooling_down,
            is_leaving,
            is_local: self.record.failure_domain == settings.failure_domain,
            is_limited: permit != SendPermit::Unlimited,
            is_excluded: was_tried || !is_usable || permit.is_denied(),
        }
    }
}
