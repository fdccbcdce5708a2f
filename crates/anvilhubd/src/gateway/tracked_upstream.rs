use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anvilhub_coord::gateway::{
    LeavingState, RankedReplica, RemoteCost, ReplicaStats, RestState, UpstreamRecord,
};
use anvilhub_coord::limit::{SendPermit, UpstreamProcess};
use anvilhub_coord::time::ClockTime;
use log::info;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::pool::UpstreamConnection;
use crate::routes::LockCell;

use super::{
    ConnectionQueue, DomainState, GatewaySettings, IdleConnections, RefusalReason, RefusalWait,
    UpstreamDistance,
};

/// One process of an upstream: the record that it announced, what this instance observed of it, and the connections to
/// it.
pub(super) struct TrackedUpstream {
    pub(super) record: UpstreamRecord,
    /// Which process the record describes.
    pub(super) process: UpstreamProcess,
    pub(super) stats: LockCell<ReplicaStats>,
    pub(super) idle_connections: LockCell<IdleConnections>,
    /// The connections that this instance may use at once, and the attempts that wait for one.
    pub(super) connection_queue: Arc<ConnectionQueue>,
    pub(super) distance: UpstreamDistance,
    leaving_state: LockCell<LeavingState>,
    rest_state: LockCell<RestState>,
    /// What the operator has ordered for its failure domain.
    domain_state: Arc<DomainState>,
    /// Whether the upstream was removed, or its address belongs to another one.
    is_removed: AtomicBool,
    /// Wakes attempts that wait for a connection when the upstream begins to leave or is removed.
    state_changed: Notify,
}

impl TrackedUpstream {
    pub(super) fn new(
        record: UpstreamRecord,
        max_connections: usize,
        distance: UpstreamDistance,
        domain_state: Arc<DomainState>,
        clock: DaemonClock,
    ) -> Self {
        Self {
            process: record.process(),
            connection_queue: ConnectionQueue::new(max_connections, record.slots, clock),
            record,
            stats: LockCell::default(),
            idle_connections: LockCell::default(),
            distance,
            leaving_state: LockCell::default(),
            rest_state: LockCell::default(),
            domain_state,
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
        // Whoever finds the upstream removed also finds the lists that were stored before.
        self.is_removed.store(true, Ordering::Release);
        self.state_changed.notify_waiters();
    }

    /// Records that the upstream said in an answer that it is leaving.
    pub(super) fn record_leaving(&self, now: ClockTime) {
        if !self
            .leaving_state
            .with(|state| state.record_announcement(now))
        {
            return;
        }
        metrics::counter!("anvilhub_upstream_announcements_total", "kind" => "leaving")
            .increment(1);
        info!(
            upstream:% = self.record.id, service:% = self.record.service;
            "upstream says that it is leaving"
        );
        self.state_changed.notify_waiters();
    }

    /// Records that the upstream asks to get no requests for this time.
    pub(super) fn record_rest(&self, now: ClockTime, rest: Duration) {
        let begins = self.rest_state.with(|state| state.record(now, rest));
        if begins {
            metrics::counter!("anvilhub_upstream_announcements_total", "kind" => "rest")
                .increment(1);
            info!(
                upstream:% = self.record.id, service:% = self.record.service, rest_ms = rest.as_millis() as u64;
                "upstream asks for a rest"
            );
        }
        self.state_changed.notify_waiters();
    }

    /// Returns the time until the upstream may get requests again; zero if it is not resting.
    pub(super) fn rest_left(&self, now: ClockTime) -> Duration {
        self.rest_state.with(|state| state.time_left(now))
    }

    /// Returns whether the operator has ordered that the upstreams of its failure domain get no requests.
    pub(super) fn is_evacuated(&self) -> bool {
        self.domain_state.is_evacuated()
    }

    /// Returns when a request may be sent again and why none may now; `None` if no limit, rest or evacuation is in the way.
    /// `permit` is whether the upstream's limit has room.
    pub(super) fn refusal_wait(&self, now: ClockTime, permit: SendPermit) -> Option<RefusalWait> {
        let limit_wait = match permit {
            SendPermit::Denied { wait } => wait,
            SendPermit::Unlimited | SendPermit::Granted => Duration::ZERO,
        };
        let waits = [
            (limit_wait, RefusalReason::Limited),
            (self.rest_left(now), RefusalReason::Resting),
            (
                self.domain_state.expected_wait(now),
                RefusalReason::Evacuated,
            ),
        ];
        let longest = waits.into_iter().max_by_key(|(time, _)| *time);
        longest
            .filter(|(time, _)| !time.is_zero())
            .map(|(time, reason)| RefusalWait { time, reason })
    }

    /// Returns whether a request may be sent now: the upstream is staying, is not resting and is not evacuated.
    pub(super) fn is_usable(&self, now: ClockTime, grace_period: Duration) -> bool {
        self.is_staying(now, grace_period) && self.rest_left(now).is_zero() && !self.is_evacuated()
    }

    /// Returns whether the upstream was not removed and, if it is leaving, `grace_period` has not passed since this instance
    /// learned of that.
    pub(super) fn is_staying(&self, now: ClockTime, grace_period: Duration) -> bool {
        let is_in_time = self
            .leaving_state
            .with(|state| state.is_usable(now, grace_period));
        is_in_time && !self.is_removed()
    }

    /// Waits until no request may be sent any more.
    pub(super) async fn wait_unusable(&self, clock: DaemonClock, grace_period: Duration) {
        loop {
            let changed = self.state_changed.notified();
            let woken = self.domain_state.woken();
            let now = clock.now();
            if !self.is_usable(now, grace_period) {
                return;
            }
            let end = self
                .leaving_state
                .with(|state| state.usable_until(grace_period));
            let time_left = end.map_or(Duration::MAX, |end| end.since(now));
            let any_change = async {
                tokio::select! {
                    () = changed => {}
                    () = woken => {}
                }
            };
            // Both a change and the end of the time are reasons to look again.
            let _ = timeout(time_left, any_change).await;
        }
    }

    pub(super) fn is_removed(&self) -> bool {
        self.is_removed.load(Ordering::Acquire)
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
        let started_at = Instant::now();
        let opening = UpstreamConnection::open(self.record.address);
        match timeout(max_time, opening).await {
            Ok(Ok(connection)) => {
                metrics::counter!("anvilhub_upstream_connections_total").increment(1);
                self.distance.record_opening(started_at.elapsed());
                Ok(connection)
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("connecting timed out".to_owned()),
        }
    }

    /// Returns whether a connection should be opened in advance: there is no idle one, no attempt is in flight, and the
    /// upstream is neither leaving, in a cooldown, resting nor evacuated.
    pub(super) fn needs_connection(&self, now: ClockTime) -> bool {
        let is_busy = self
            .stats
            .with(|stats| stats.in_flight() > 0 || stats.is_cooling_down(now));
        let is_leaving =
            self.is_removed() || self.leaving_state.with(|state| state.is_last_resort());
        !is_busy
            && !is_leaving
            && !self.is_evacuated()
            && self.rest_left(now).is_zero()
            && self
                .idle_connections
                .with(|idle_connections| idle_connections.is_empty())
    }

    /// Returns this upstream as a candidate for an attempt of a sub-request. `permit` is whether its limit has room,
    /// `transfer_time` what the attempt's bytes are worth if it leaves the failure domain (`None` without a price), and
    /// `was_tried` whether an earlier attempt was sent to it.
    pub(super) fn to_candidate(
        &self,
        now: ClockTime,
        typical_latency: Duration,
        settings: &GatewaySettings,
        permit: SendPermit,
        transfer_time: Option<Duration>,
        was_tried: bool,
    ) -> RankedReplica {
        let is_leaving = self.leaving_state.with(|state| state.is_last_resort());
        let is_usable = self.is_usable(now, settings.leaving_grace_period);
        let slots = self.record.slots.get();
        let remote_cost = transfer_time.and_then(|transfer_time| {
            let extra_round_trip = self.distance.extra_round_trip()?;
            let cost = RemoteCost {
                extra_round_trip,
                transfer_time,
            };
            Some(cost.in_latencies(typical_latency))
        });
        let (cost, queue_rounds, is_cooling_down, is_overdue, answer_age) =
            self.stats.with(|stats| {
                let cost = stats.cost(now, typical_latency, slots);
                (
                    cost,
                    stats.queue_rounds(now, slots),
                    stats.is_cooling_down(now),
                    transfer_time.is_some() && stats.is_overdue(now, typical_latency, slots),
                    stats.answer_age(now),
                )
            });
        RankedReplica {
            cost,
            queue_rounds,
            is_cooling_down,
            is_leaving,
            is_local: self.distance.is_local(),
            is_overdue,
            remote_cost,
            answer_age,
            is_limited: permit != SendPermit::Unlimited,
            is_excluded: was_tried || !is_usable || permit.is_denied(),
        }
    }
}
