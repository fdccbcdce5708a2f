use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhub_coord::gateway::{DepartureState, RankedReplica, ReplicaGauge, UpstreamEntry};
use anvilhub_coord::time::ClockTime;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::pool::UpstreamConnection;
use crate::routes::LockCell;

use super::{GatewaySettings, LinkShelf};

/// One process of an upstream: what it announced, what is known of it, and the connections to it.
pub(super) struct UpstreamNode {
    pub(super) entry: UpstreamEntry,
    pub(super) gauge: LockCell<ReplicaGauge>,
    pub(super) shelf: LockCell<LinkShelf>,
    /// One permit for each connection that this instance may hold.
    pub(super) connections: Semaphore,
    departure: LockCell<DepartureState>,
    is_gone: AtomicBool,
}

impl UpstreamNode {
    pub(super) fn new(entry: UpstreamEntry, share: usize) -> Self {
        Self {
            entry,
            gauge: LockCell::default(),
            shelf: LockCell::default(),
            connections: Semaphore::new(share),
            departure: LockCell::default(),
            is_gone: AtomicBool::new(false),
        }
    }

    /// Notes whether the upstream announced that it leaves, or may be gone; says whether that is new.
    pub(super) fn set_leaving(&self, now: ClockTime, leaving: bool) -> bool {
        self.departure.with(|departure| departure.set(now, leaving))
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
            .gauge
            .with(|gauge| gauge.in_flight() > 0 || gauge.is_resting(now));
        let leaves = self.is_gone() || self.departure.with(|departure| departure.is_leaving());
        !is_busy && !leaves && self.shelf.with(|shelf| shelf.is_empty())
    }

    /// What a choice needs to know of this upstream.
    pub(super) fn ranked(
        &self,
        now: ClockTime,
        usual: Duration,
        settings: &GatewaySettings,
        tried: bool,
    ) -> RankedReplica {
        let (leaving, usable) = self.departure.with(|departure| {
            let usable = departure.is_usable(now, settings.leaving_grace);
            (departure.is_leaving(), usable)
        });
        let slots = self.entry.slots.get();
        let (cost, queue, resting) = self.gauge.with(|gauge| {
            let cost = gauge.cost(now, usual, slots);
            (cost, gauge.queue(now, slots), gauge.is_resting(now))
        });
        RankedReplica {
            cost,
            queue,
            resting,
            leaving,
            near: self.entry.domain == settings.failure_domain,
            tried: tried || self.is_gone() || !usable,
        }
    }
}
