use std::collections::HashMap;
use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger};
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;

use super::{LinkPlan, UpstreamConnection};

/// Time without use after which a warm connection is probed, so that its proof of life stays below the age
/// of one second at which the ledger distrusts it.
const PROBE_AGE: Duration = Duration::from_millis(700);
/// Pause after a failed opening ahead of need.
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// Connections opened ahead of need at once.
const MOST_OPENED: u32 = 2;

/// The connections of a link by their state.
pub(super) struct LinkState {
    pub(super) ledger: ConnectionLedger,
    pub(super) plan: LinkPlan,
    pub(super) idle: HashMap<ConnectionId, IdleConnection>,
    /// Dropping a sender ends the exchange on the connection.
    pub(super) busy: HashMap<ConnectionId, oneshot::Sender<()>>,
    pub(super) opened: u64,
    pub(super) open_failed: Option<ClockTime>,
    pub(super) retired: bool,
}

/// A connection that waits for a request.
pub(super) struct IdleConnection {
    pub(super) connection: UpstreamConnection,
    pub(super) since: ClockTime,
}

impl LinkState {
    /// A state without connections.
    pub(super) fn new(plan: LinkPlan) -> Self {
        Self {
            ledger: ConnectionLedger::new(plan.share),
            plan,
            idle: HashMap::new(),
            busy: HashMap::new(),
            opened: 0,
            open_failed: None,
            retired: false,
        }
    }

    pub(super) fn take(
        &mut self,
        id: ConnectionId,
    ) -> Option<(ConnectionId, UpstreamConnection, oneshot::Receiver<()>)> {
        let Some(idle) = self.idle.remove(&id) else {
            self.ledger.remove(id);
            return None;
        };
        let (sender, receiver) = oneshot::channel();
        self.busy.insert(id, sender);
        Some((id, idle.connection, receiver))
    }

    pub(super) fn take_excess(&mut self, share: u32) -> Vec<IdleConnection> {
        let excess = self.ledger.set_share(share);
        excess
            .into_iter()
            .filter_map(|id| self.idle.remove(&id))
            .collect()
    }

    /// Number of silent connections, and the idle ones to close.
    pub(super) fn prune(&mut self, now: ClockTime, limit: Duration) -> (u64, Vec<IdleConnection>) {
        let report = self.ledger.check_silence(now, limit);
        for id in &report.silent {
            self.busy.remove(id);
        }
        if report.is_upstream_suspect && self.plan.warm <= self.ledger.connection_count() {
            self.plan.warm = (self.ledger.connection_count() + 1).min(self.plan.share);
        }
        let ended: Vec<ConnectionId> = self
            .idle
            .iter()
            .filter(|(_, idle)| !idle.connection.is_usable())
            .map(|(&id, _)| id)
            .collect();
        let mut closed = self.take_excess(self.plan.share);
        for id in ended {
            self.ledger.remove(id);
            closed.extend(self.idle.remove(&id));
        }
        (report.silent.len() as u64, closed)
    }

    /// Warm connections whose proof of life becomes old, taken out for a probe.
    pub(super) fn stale(
        &mut self,
        now: ClockTime,
    ) -> Vec<(ConnectionId, UpstreamConnection, oneshot::Receiver<()>)> {
        let mut idle: Vec<(ClockTime, ConnectionId)> = self
            .idle
            .iter()
            .map(|(&id, idle)| (idle.since, id))
            .collect();
        idle.sort_unstable_by(|first, second| second.cmp(first));
        idle.into_iter()
            .take(self.plan.warm as usize)
            .filter(|(since, _)| now.since(*since) >= PROBE_AGE)
            .filter_map(|(_, id)| match self.ledger.begin_probe(now, id) {
                true => self.take(id),
                false => None,
            })
            .collect()
    }

    pub(super) fn reserve_warm(&mut self, now: ClockTime) -> u32 {
        let pauses = self
            .open_failed
            .is_some_and(|failed| now.since(failed) < OPEN_PAUSE);
        if pauses || self.retired {
            return 0;
        }
        let wanted = self
            .plan
            .warm
            .saturating_sub(self.ledger.connection_count());
        (0..wanted.min(MOST_OPENED))
            .filter(|_| self.ledger.reserve())
            .count() as u32
    }
}
