use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionPlan};
use anvilhub_coord::sheet::RepeatPolicy;
use log::{info, warn};
use metrics::counter;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::clock::DaemonClock;
use crate::routes::RouteCell;

use super::link_state::{IdleConnection, LinkState};
use super::{ConnectionLease, LinkPlan, PoolError, Result, UpstreamConnection};

/// The connections of this instance to one upstream.
pub(crate) struct UpstreamLink {
    address: SocketAddr,
    state: RouteCell<LinkState>,
    changed: Notify,
    clock: DaemonClock,
    connect_timeout: Duration,
}

enum LinkStep {
    Use(ConnectionLease),
    Probe(ConnectionLease),
    Open,
    Again,
    Wait,
}

impl UpstreamLink {
    pub(crate) fn new(
        address: SocketAddr,
        plan: LinkPlan,
        clock: DaemonClock,
        connect_timeout: Duration,
    ) -> Arc<Self> {
        let state = LinkState::new(plan);
        Arc::new(Self {
            address,
            state: RouteCell::new(state),
            changed: Notify::new(),
            clock,
            connect_timeout,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a connection that carries the next request.
    ///
    /// # Errors
    ///
    /// Fails when a connection had to be opened and could not be: nothing was sent.
    pub(crate) async fn acquire(self: &Arc<Self>, repeat: RepeatPolicy) -> Result<ConnectionLease> {
        loop {
            let mut changed = pin!(self.changed.notified());
            // Registers before the ledger is asked, so that a connection freed meanwhile is noticed.
            changed.as_mut().enable();
            match self.next_step(repeat) {
                LinkStep::Use(mut lease) => {
                    if lease.is_ready().await {
                        return Ok(lease);
                    }
                }
                LinkStep::Probe(lease) => lease.probe().await,
                LinkStep::Open => return self.open().await,
                LinkStep::Again => {}
                LinkStep::Wait => changed.await,
            }
        }
    }

    /// Follows a change of the share; connections above it are closed as soon as they are idle.
    pub(crate) fn configure(&self, plan: LinkPlan) {
        let (is_changed, closed) = self.state.with(|state| {
            let is_changed = state.plan != plan || state.retired;
            state.plan = plan;
            state.retired = false;
            (is_changed, state.take_excess(plan.share))
        });
        drop(closed);
        if is_changed {
            self.changed.notify_waiters();
        }
    }

    /// Closes idle connections now and busy ones after their answer: the upstream left the sheet.
    pub(crate) fn retire(&self) {
        let closed = self.state.with(|state| {
            state.plan = LinkPlan::default();
            state.retired = true;
            state.take_excess(0)
        });
        drop(closed);
    }

    /// Says whether a retired link has no connection left.
    pub(crate) fn is_empty(&self) -> bool {
        self.state
            .with(|state| state.ledger.connection_count() == 0)
    }

    /// Says whether a request would have to wait for a connection.
    pub(crate) fn is_full(&self) -> bool {
        self.state.with(|state| state.ledger.is_full())
    }

    /// Exempts a busy connection from the check for silence.
    pub(super) fn keep_waiting(&self, id: ConnectionId) {
        self.state
            .with(|state| state.ledger.exempt_from_silence_check(id));
    }

    /// Makes idle connections suspect, such as after a pause of this process.
    pub(crate) fn doubt(&self) {
        self.state.with(|state| state.ledger.mark_all_suspect());
    }

    /// Closes silent connections, probes those without recent use, and opens warm ones.
    ///
    /// `limit` is how long a connection may carry a request without a byte of its answer.
    pub(crate) fn maintain(self: &Arc<Self>, limit: Duration) {
        let now = self.clock.now();
        let (silent, closed) = self.state.with(|state| state.prune(now, limit));
        if silent > 0 {
            warn!(upstream:% = self.address, silent; "silent connections closed");
            counter!("anvilhub_silent_connections_total").increment(silent);
        }
        let is_changed = silent > 0 || !closed.is_empty();
        drop(closed);
        if is_changed {
            self.changed.notify_waiters();
        }
        for lease in self.state.with(|state| state.stale(now)) {
            let (id, connection, silent) = lease;
            let lease = ConnectionLease::new(Arc::clone(self), id, connection, silent);
            tokio::spawn(lease.probe());
        }
        for _ in 0..self.state.with(|state| state.reserve_warm(now)) {
            let link = Arc::clone(self);
            tokio::spawn(async move {
                if let Ok(lease) = link.open().await {
                    lease.rest();
                }
            });
        }
    }

    pub(super) fn byte_received(&self, id: ConnectionId) {
        let now = self.clock.now();
        self.state.with(|state| state.ledger.record_byte(now, id));
    }

    /// Takes back a connection whose whole answer arrived.
    pub(super) fn finished(&self, id: ConnectionId, connection: UpstreamConnection) {
        if !connection.is_usable() {
            return self.closed(id);
        }
        let now = self.clock.now();
        let closed = self.state.with(|state| {
            state.busy.remove(&id);
            state.ledger.record_answer(now, id);
            // The ledger forgets a connection that it found silent.
            if state.ledger.state(id).is_none() {
                return vec![IdleConnection {
                    connection,
                    since: now,
                }];
            }
            let idle = IdleConnection {
                connection,
                since: now,
            };
            state.idle.insert(id, idle);
            state.take_excess(state.plan.share)
        });
        drop(closed);
        self.changed.notify_waiters();
    }

    /// Forgets a connection that was closed.
    pub(super) fn closed(&self, id: ConnectionId) {
        self.state.with(|state| {
            state.busy.remove(&id);
            state.ledger.remove(id);
        });
        self.changed.notify_waiters();
    }

    fn next_step(self: &Arc<Self>, repeat: RepeatPolicy) -> LinkStep {
        let now = self.clock.now();
        let lease = |(id, connection, silent)| {
            ConnectionLease::new(Arc::clone(self), id, connection, silent)
        };
        let (plan, taken) = self.state.with(|state| {
            let plan = state.ledger.acquire(now, repeat);
            let taken = match plan {
                ConnectionPlan::Use(id) | ConnectionPlan::Probe(id) => state.take(id),
                _ => None,
            };
            let replaced = match plan {
                ConnectionPlan::Replace(id) => state.idle.remove(&id),
                _ => None,
            };
            (plan, (taken, replaced))
        });
        match (plan, taken.0) {
            (ConnectionPlan::Use(_), Some(taken)) => LinkStep::Use(lease(taken)),
            (ConnectionPlan::Probe(_), Some(taken)) => LinkStep::Probe(lease(taken)),
            (ConnectionPlan::Open | ConnectionPlan::Replace(_), _) => LinkStep::Open,
            (ConnectionPlan::Wait, _) => LinkStep::Wait,
            (ConnectionPlan::Use(_) | ConnectionPlan::Probe(_), None) => LinkStep::Again,
        }
    }

    /// Opens a connection whose place the ledger reserved.
    async fn open(self: &Arc<Self>) -> Result<ConnectionLease> {
        let mut reservation = OpenReservation {
            link: Arc::clone(self),
            open: true,
        };
        let opening = timeout(self.connect_timeout, UpstreamConnection::open(self.address)).await;
        let connection = opening.unwrap_or_else(|_| {
            Err(PoolError::Unconnected {
                address: self.address,
                reason: "connecting timed out".to_owned(),
            })
        })?;
        reservation.open = false;
        let now = self.clock.now();
        let (silent, receiver) = oneshot::channel();
        let id = self.state.with(|state| {
            let id = ConnectionId(state.opened);
            state.opened += 1;
            state.open_failed = None;
            state.ledger.record_open(now, id);
            state.busy.insert(id, silent);
            id
        });
        Ok(ConnectionLease::new(
            Arc::clone(self),
            id,
            connection,
            receiver,
        ))
    }
}

/// A place in the ledger that is given back when the opening fails or is abandoned.
struct OpenReservation {
    link: Arc<UpstreamLink>,
    open: bool,
}

impl Drop for OpenReservation {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let now = self.link.clock.now();
        let is_first = self.link.state.with(|state| {
            state.ledger.record_open_failure();
            state.open_failed.replace(now).is_none()
        });
        if is_first {
            info!(upstream:% = self.link.address; "a connection could not be opened");
        }
        self.link.changed.notify_waiters();
    }
}
