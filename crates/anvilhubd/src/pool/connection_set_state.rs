use std::collections::HashMap;
use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger};
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;

use super::{ConnectionTarget, UpstreamConnection};

/// Time without use after which a warm connection is probed. It is shorter than the one second after which the ledger
/// considers an unused connection suspect.
const PROBE_AGE: Duration = Duration::from_millis(700);
/// Pause after a failed attempt to open a connection, before warm connections are opened again.
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of warm connections that one round of maintenance opens.
const MAX_WARM_OPENS: u32 = 2;

/// A connection that was taken from the idle ones for a lease, and the receiver that resolves when it is silent.
pub(super) type TakenConnection = (ConnectionId, UpstreamConnection, oneshot::Receiver<()>);

/// The connections of a `ConnectionSet` by their state.
pub(super) struct ConnectionSetState {
    pub(super) ledger: ConnectionLedger,
    pub(super) target: ConnectionTarget,
    pub(super) idle: HashMap<ConnectionId, IdleConnection>,
    /// The connections that carry a request. Dropping a sender ends the exchange on its connection.
    pub(super) busy: HashMap<ConnectionId, oneshot::Sender<()>>,
    /// Number of connections opened so far, which numbers the next one.
    pub(super) opened_count: u64,
    /// When opening a connection last failed, `None` if it has succeeded since.
    pub(super) open_failed_at: Option<ClockTime>,
    /// Whether the upstream was removed from the sheet.
    pub(super) is_retired: bool,
}

/// An open connection that carries no request.
pub(super) struct IdleConnection {
    pub(super) connection: UpstreamConnection,
    pub(super) idle_since: ClockTime,
}

impl ConnectionSetState {
    /// Creates a state without connections.
    pub(super) fn new(target: ConnectionTarget) -> Self {
        Self {
            ledger: ConnectionLedger::new(target.max_connections),
            target,
            idle: HashMap::new(),
            busy: HashMap::new(),
            opened_count: 0,
            open_failed_at: None,
            is_retired: false,
        }
    }

    /// Marks an idle connection as busy and returns it. Returns `None` when it has been closed meanwhile.
    pub(super) fn take_idle(&mut self, id: ConnectionId) -> Option<TakenConnection> {
        let Some(idle) = self.idle.remove(&id) else {
            self.ledger.remove(id);
            return None;
        };
        let (sender, receiver) = oneshot::channel();
        self.busy.insert(id, sender);
        Some((id, idle.connection, receiver))
    }

    /// Sets the maximum number of connections, and removes and returns the idle connections above it. The calling
    /// function closes them.
    pub(super) fn take_excess(&mut self, max_connections: u32) -> Vec<IdleConnection> {
        let excess = self.ledger.set_max_connections(max_connections);
        excess
            .into_iter()
            .filter_map(|id| self.idle.remove(&id))
            .collect()
    }

    /// Ends silent exchanges and returns their number.
    ///
    /// When the upstream may have failed, one more warm connection is opened, which shows whether it still accepts
    /// connections.
    pub(super) fn end_silent(&mut self, now: ClockTime, silence_limit: Duration) -> u64 {
        let report = self.ledger.check_silence(now, silence_limit);
        for id in &report.silent {
            self.busy.remove(id);
        }
        if report.is_upstream_suspect
            && self.target.warm_connections <= self.ledger.connection_count()
        {
            self.target.warm_connections =
                (self.ledger.connection_count() + 1).min(self.target.max_connections);
        }
        report.silent.len() as u64
    }

    /// Removes and returns the idle connections to close: those that have ended, and those above the maximum.
    pub(super) fn prune(&mut self) -> Vec<IdleConnection> {
        let closed_ids: Vec<ConnectionId> = self
            .idle
            .iter()
            .filter(|(_, idle)| !idle.connection.is_usable())
            .map(|(&id, _)| id)
            .collect();
        let mut closed = self.take_excess(self.target.max_connections);
        for id in closed_ids {
            self.ledger.remove(id);
            closed.extend(self.idle.remove(&id));
        }
        closed
    }

    /// Removes and returns the warm connections whose last use is so long ago that they need a probe.
    pub(super) fn take_for_probe(&mut self, now: ClockTime) -> Vec<TakenConnection> {
        let mut idle: Vec<(ClockTime, ConnectionId)> = self
            .idle
            .iter()
            .map(|(&id, idle)| (idle.idle_since, id))
            .collect();
        idle.sort_unstable_by(|first, second| second.cmp(first));
        idle.into_iter()
            .take(self.target.warm_connections as usize)
            .filter(|(idle_since, _)| now.since(*idle_since) >= PROBE_AGE)
            .filter_map(|(_, id)| match self.ledger.begin_probe(now, id) {
                true => self.take_idle(id),
                false => None,
            })
            .collect()
    }

    /// Reserves places for the warm connections to open now, and returns their number.
    pub(super) fn reserve_warm(&mut self, now: ClockTime) -> u32 {
        let is_pausing = self
            .open_failed_at
            .is_some_and(|failed_at| now.since(failed_at) < OPEN_PAUSE);
        if is_pausing || self.is_retired {
            return 0;
        }
        let connection_count = self.ledger.connection_count();
        let missing_count = self
            .target
            .warm_connections
            .saturating_sub(connection_count);
        (0..missing_count.min(MAX_WARM_OPENS))
            .filter(|_| self.ledger.reserve())
            .count() as u32
    }
}
