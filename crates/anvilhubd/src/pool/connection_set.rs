use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionPlan};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use log::{info, warn};
use metrics::counter;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::connection_set_state::{ConnectionSetState, IdleConnection};
use super::{ConnectionLease, ConnectionTarget, PoolError, Result, UpstreamConnection};

/// The connections of this instance to one upstream.
pub(crate) struct ConnectionSet {
    address: SocketAddr,
    state: LockCell<ConnectionSetState>,
    /// Wakes requests that wait for a connection.
    state_changed: Notify,
    clock: DaemonClock,
    connect_timeout: Duration,
}

/// The next step to acquire a connection.
enum AcquireStep {
    Use(ConnectionLease),
    Probe(ConnectionLease),
    Open,
    Retry,
    Wait,
}

impl ConnectionSet {
    pub(crate) fn new(
        address: SocketAddr,
        target: ConnectionTarget,
        clock: DaemonClock,
        connect_timeout: Duration,
    ) -> Arc<Self> {
        let state = ConnectionSetState::new(target);
        Arc::new(Self {
            address,
            state: LockCell::new(state),
            state_changed: Notify::new(),
            clock,
            connect_timeout,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a connection for the next request.
    ///
    /// # Errors
    ///
    /// Fails when a connection had to be opened and could not be. Nothing was sent then.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        repeat_policy: RepeatPolicy,
    ) -> Result<ConnectionLease> {
        loop {
            let mut changed = pin!(self.state_changed.notified());
            // Registers before the ledger is read, so that a connection that is freed meanwhile is not missed.
            changed.as_mut().enable();
            match self.next_step(repeat_policy) {
                AcquireStep::Use(mut lease) => {
                    if lease.wait_ready().await {
                        return Ok(lease);
                    }
                }
                AcquireStep::Probe(lease) => lease.probe().await,
                AcquireStep::Open => return self.open().await,
                AcquireStep::Retry => {}
                AcquireStep::Wait => changed.await,
            }
        }
    }

    /// Sets the target. Connections above its maximum are closed as soon as they are idle.
    pub(crate) fn configure(&self, target: ConnectionTarget) {
        let (is_changed, closed) = self.state.with(|state| {
            let is_changed = state.target != target || state.is_retired;
            state.target = target;
            state.is_retired = false;
            (is_changed, state.take_excess(target.max_connections))
        });
        drop(closed);
        if is_changed {
            self.state_changed.notify_waiters();
        }
    }

    /// Closes all connections after the upstream was removed from the sheet: idle connections now, busy connections
    /// after their answer.
    pub(crate) fn retire(&self) {
        let closed = self.state.with(|state| {
            state.target = ConnectionTarget::default();
            state.is_retired = true;
            state.take_excess(0)
        });
        drop(closed);
    }

    /// Returns whether no connection is open or being opened.
    pub(crate) fn is_empty(&self) -> bool {
        self.state
            .with(|state| state.ledger.connection_count() == 0)
    }

    /// Returns whether a request would have to wait for a connection.
    pub(crate) fn is_full(&self) -> bool {
        self.state.with(|state| state.ledger.is_full())
    }

    /// Exempts a busy connection from the silence check.
    pub(super) fn exempt_from_silence_check(&self, id: ConnectionId) {
        self.state
            .with(|state| state.ledger.exempt_from_silence_check(id));
    }

    /// Marks idle connections as suspect, for example after a pause of this process.
    pub(crate) fn mark_idle_suspect(&self) {
        self.state.with(|state| state.ledger.mark_all_suspect());
    }

    /// Closes the connections that were silent at `now`. `silence_limit` is how long a connection may carry a request without
    /// receiving a byte of the answer.
    pub(super) fn close_silent(&self, now: ClockTime, silence_limit: Duration) {
        let silent_count = self
            .state
            .with(|state| state.end_silent(now, silence_limit));
        if silent_count > 0 {
            warn!(upstream:% = self.address, silent = silent_count; "silent connections closed");
            counter!("anvilhub_silent_connections_total").increment(silent_count);
            self.state_changed.notify_waiters();
        }
    }

    /// Closes idle connections that have ended or are in excess, probes those without recent use, and opens warm ones.
    pub(crate) fn maintain(self: &Arc<Self>) {
        let now = self.clock.now();
        let closed = self.state.with(|state| state.prune());
        if !closed.is_empty() {
            drop(closed);
            self.state_changed.notify_waiters();
        }
        for (id, connection, silence) in self.state.with(|state| state.take_for_probe(now)) {
            let lease = ConnectionLease::new(Arc::clone(self), id, connection, silence);
            tokio::spawn(lease.probe());
        }
        for _ in 0..self.state.with(|state| state.reserve_warm(now)) {
            let connections = Arc::clone(self);
            tokio::spawn(async move {
                if let Ok(lease) = connections.open().await {
                    lease.return_unused();
                }
            });
        }
    }

    /// Records that a part of an answer arrived, which shows that the connection works.
    pub(super) fn record_byte(&self, id: ConnectionId) {
        let now = self.clock.now();
        self.state.with(|state| state.ledger.record_byte(now, id));
    }

    /// Makes a connection idle after its whole answer has arrived.
    pub(super) fn return_connection(&self, id: ConnectionId, connection: UpstreamConnection) {
        if !connection.is_usable() {
            return self.remove_connection(id);
        }
        let now = self.clock.now();
        let closed = self.state.with(|state| {
            state.busy.remove(&id);
            state.ledger.record_answer(now, id);
            // The ledger has removed the connection if it was found silent.
            if state.ledger.state(id).is_none() {
                return vec![IdleConnection {
                    connection,
                    idle_since: now,
                }];
            }
            let idle = IdleConnection {
                connection,
                idle_since: now,
            };
            state.idle.insert(id, idle);
            state.take_excess(state.target.max_connections)
        });
        drop(closed);
        self.state_changed.notify_waiters();
    }

    /// Removes a connection that was closed.
    pub(super) fn remove_connection(&self, id: ConnectionId) {
        self.state.with(|state| {
            state.busy.remove(&id);
            state.ledger.remove(id);
        });
        self.state_changed.notify_waiters();
    }

    fn next_step(self: &Arc<Self>, repeat_policy: RepeatPolicy) -> AcquireStep {
        let now = self.clock.now();
        let lease = |(id, connection, silence)| {
            ConnectionLease::new(Arc::clone(self), id, connection, silence)
        };
        let (plan, taken, replaced) = self.state.with(|state| {
            let plan = state.ledger.acquire(now, repeat_policy);
            let taken = match plan {
                ConnectionPlan::Use(id) | ConnectionPlan::Probe(id) => state.take_idle(id),
                _ => None,
            };
            let replaced = match plan {
                ConnectionPlan::Replace(id) => state.idle.remove(&id),
                _ => None,
            };
            (plan, taken, replaced)
        });
        // Closes the replaced connection after the lock is released.
        drop(replaced);
        match (plan, taken) {
            (ConnectionPlan::Use(_), Some(taken)) => AcquireStep::Use(lease(taken)),
            (ConnectionPlan::Probe(_), Some(taken)) => AcquireStep::Probe(lease(taken)),
            (ConnectionPlan::Open | ConnectionPlan::Replace(_), _) => AcquireStep::Open,
            (ConnectionPlan::Wait, _) => AcquireStep::Wait,
            (ConnectionPlan::Use(_) | ConnectionPlan::Probe(_), None) => AcquireStep::Retry,
        }
    }

    /// Opens a connection whose place the ledger reserved.
    async fn open(self: &Arc<Self>) -> Result<ConnectionLease> {
        let mut reservation = OpenReservation {
            connections: Arc::clone(self),
            is_pending: true,
        };
        let opening = timeout(self.connect_timeout, UpstreamConnection::open(self.address)).await;
        let connection = opening.unwrap_or_else(|_| {
            Err(PoolError::Unconnected {
                address: self.address,
                reason: format!(
                    "no connection within {} ms (setting `connect_timeout_ms`)",
                    self.connect_timeout.as_millis()
                ),
            })
        })?;
        reservation.is_pending = false;
        let now = self.clock.now();
        let (sender, silence) = oneshot::channel();
        let id = self.state.with(|state| {
            let id = ConnectionId(state.opened_count);
            state.opened_count += 1;
            state.open_failed_at = None;
            state.ledger.record_open(now, id);
            state.busy.insert(id, sender);
            id
        });
        Ok(ConnectionLease::new(
            Arc::clone(self),
            id,
            connection,
            silence,
        ))
    }
}

/// A reserved place in the ledger, which is released when opening the connection fails or is cancelled.
struct OpenReservation {
    connections: Arc<ConnectionSet>,
    /// Whether the connection is still being opened.
    is_pending: bool,
}

impl Drop for OpenReservation {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        let now = self.connections.clock.now();
        let is_first_failure = self.connections.state.with(|state| {
            state.ledger.record_open_failure();
            state.open_failed_at.replace(now).is_none()
        });
        if is_first_failure {
            info!(upstream:% = self.connections.address; "a connection could not be opened");
        }
        self.connections.state_changed.notify_waiters();
    }
}
