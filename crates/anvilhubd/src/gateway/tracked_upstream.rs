use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhub_coord::gateway::{DepartureState, RankedReplica, ReplicaStats, UpstreamRecord};
use anvilhub_coord::time::ClockTime;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::pool::UpstreamConnection;
use crate::routes::RouteCell;

use super::{GatewaySettings, IdleConnections};

/// One process of an upstream: what it announced, what is known of it, and the connections to it.
pub(super) struct TrackedUpstream {
    pub(super) entry: UpstreamRecord,
    pub(super) stats: RouteCell<ReplicaStats>,
    pub(super) shelf: RouteCell<IdleConnections>,
    /// One permit for each connection that this instance may hold.
    pub(super) connections: Semaphore,
    departure: RouteCell<DepartureState>,
    is_gone: AtomicBool,
}

impl TrackedUpstream {
    pub(super) fn new(entry: UpstreamRecord, share: usize) -> Self {
        Self {
            entry,
            stats: RouteCell::default(),
            shelf: RouteCell::default(),
            connections: Semaphore::new(share),
            departure: RouteCell::default(),
            is_gone: AtomicBool::new(false),
        }
    }

    /// Notes whether the upstream announced that it leaves, or may be gone; says whether that is new.
    pub(super) fn set_leaving(&self, now: ClockTime, leaving: bool) -> bool {
        self.departure
            .with(|departure| departure.set_leaving(now, leaving))
    }

    /// Notes that another upstream has the address: no request goes there any more.
    pub(super) fn set_gone(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }

    /// Opens a connection within `most`, and counts it.
    ///
    /// # Errors
    ///
    /// Fails with the reason for the log.
    pub(super) async fn open_link(&self, most: Duration) -> Result<UpstreamConnection, String> {
        let opening = UpstreamConnection::open(self.entry.address);
        match timeout(most, opening).await {
            Ok(Ok(connection)) => {
                metrics::counter!("anvilhub_upstream_connections_total").increment(1);
                Ok(connection)
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("connecting timed out".to_owned()),
        }
    }

    /// Says whether a connection should be opened ahead of need.
    pub(super) fn wants_warm_link(&self, now: ClockTime) -> bool {
        let is_busy = self
            .stats
            .with(|stats| stats.in_flight() > 0 || stats.is_cooling_down(now));
        let leaves = self.is_gone() || self.departure.with(|departure| departure.is_leaving());
        !is_busy && !leaves && self.shelf.with(|shelf| shelf.is_empty())
    }

    /// What a choice needs to know of this upstream.
    pub(super) fn ranked(
        &self,
        now: ClockTime,
        usual: Duration,
        settings: &GatewaySettings,
        was_tried: bool,
    ) -> RankedReplica {
        let (is_leaving, is_usable) = self.departure.with(|departure| {
            let is_usable = departure.is_usable(now, settings.leaving_grace);
            (departure.is_leaving(), is_usable)
        });
        let slots = self.entry.slots.get();
        let (cost, queue, is_cooling_down) = self.stats.with(|stats| {
            let cost = stats.cost(now, usual, slots);
            (cost, stats.queue(now, slots), stats.is_cooling_down(now))
        });
        RankedReplica {
            cost,
            queue,
            is_cooling_down,
            is_leaving,
            is_local: self.entry.failure_domain == settings.failure_domain,
            is_excluded: was_tried || self.is_gone() || !is_usable,
        }
    }
}
