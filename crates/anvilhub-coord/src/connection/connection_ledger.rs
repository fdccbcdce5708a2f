use std::collections::BTreeMap;
use std::time::Duration;

use crate::sheet::RepeatPolicy;
use crate::time::ClockTime;

use super::{ConnectionId, ConnectionState};

/// Maximum time since the last byte received for a connection to count as proven alive. A device on the network
/// path may drop the state of a connection at any time, so an older byte proves little.
const MAX_PROOF_AGE: Duration = Duration::from_secs(1);
/// Maximum number of requests outstanding on connections that are not proven alive.
const MAX_UNPROVEN_REQUESTS: usize = 1;

/// The connection to use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// Write the request on this connection, which is now busy.
    Use(ConnectionId),
    /// Send a probe on this connection, which is now probing, and call `acquire` again.
    Probe(ConnectionId),
    /// Open a connection, call `record_open`, and write the request on it. The connection already counts towards the
    /// maximum.
    Open,
    /// Close this connection, which is not proven alive and has been removed, and proceed as for `Open`.
    Replace(ConnectionId),
    /// Every connection is in use: wait until one is released.
    Wait,
}

/// Connections that a check found silent or suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceReport {
    /// Silent connections, which have been removed and are to be closed. Their requests have the state `Broken`.
    pub silent: Vec<ConnectionId>,
    /// Idle connections that became suspect.
    pub suspect: Vec<ConnectionId>,
    /// Whether no connection was proven alive since the late requests were written, so that the upstream itself is
    /// suspect.
    pub is_upstream_suspect: bool,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionRecord {
    state: ConnectionState,
    /// Time at which the connection was opened or last received a byte.
    proven_at: ClockTime,
    /// Whether the connection is kept open until its request is answered, however late.
    is_exempt: bool,
}

/// The connections of one instance to one upstream.
///
/// A connection carries one request at a time, so a connection that becomes silent affects one request. If all
/// connections become silent at once, this affects the requests outstanding at that time, one further request per
/// connection that was proven alive within the last second, and one on an unproven connection.
#[derive(Clone, Debug)]
pub struct ConnectionLedger {
    max_connections: u32,
    /// Number of connections that are being opened.
    opening_count: u32,
    connections: BTreeMap<ConnectionId, ConnectionRecord>,
    /// Time at which a connection was last opened or received a byte.
    last_proven_at: Option<ClockTime>,
}

impl ConnectionLedger {
    /// Creates a ledger without connections, for at most `max_connections`.
    pub fn new(max_connections: u32) -> Self {
        Self {
            max_connections,
            opening_count: 0,
            connections: BTreeMap::new(),
            last_proven_at: None,
        }
    }

    /// Returns the number of connections, including those that are being opened.
    pub fn connection_count(&self) -> u32 {
        self.connections.len() as u32 + self.opening_count
    }

    /// Returns whether `acquire` would return `Wait`.
    pub fn is_full(&self) -> bool {
        self.connection_count() >= self.max_connections
            && self
                .connections
                .values()
                .all(|record| waiting_since(record).is_some())
    }

    /// Returns the state of a connection, or `None` if the ledger does not contain it.
    pub fn state(&self, id: ConnectionId) -> Option<ConnectionState> {
        self.connections.get(&id).map(|record| record.state)
    }

    /// Chooses a connection for a request.
    ///
    /// A non-idempotent request gets a connection that is proven alive or a new one. An idempotent request may also
    /// use a connection that is not proven alive, but only one request at a time does so.
    pub fn acquire(&mut self, now: ClockTime, policy: RepeatPolicy) -> ConnectionPlan {
        let idle = self.find_latest(|record| record.state == ConnectionState::Idle);
        if let Some(id) = idle.filter(|id| self.is_proven(now, *id)) {
            return self.use_idle(now, id);
        }
        if self.connection_count() < self.max_connections {
            self.opening_count += 1;
            return ConnectionPlan::Open;
        }
        let may_use_unproven = self.unproven_request_count(now) < MAX_UNPROVEN_REQUESTS;
        match (idle, policy) {
            (Some(id), RepeatPolicy::Idempotent) if may_use_unproven => self.use_idle(now, id),
            (Some(id), RepeatPolicy::NonIdempotent) => self.replace(id),
            (Some(id), RepeatPolicy::Idempotent) => self.probe(now, id),
            (None, _) => self.use_suspect(now, policy),
        }
    }

    /// Counts a connection that is opened before a request needs it. Returns `false` if the maximum is reached, in
    /// which case it must not be opened. Call `record_open` and `record_answer`, or `record_open_failure`, afterwards.
    #[must_use]
    pub fn reserve(&mut self) -> bool {
        let can_open = self.connection_count() < self.max_connections;
        self.opening_count += u32::from(can_open);
        can_open
    }

    /// Starts a probe on an idle or suspect connection, to prove that it is alive before a request needs it. Returns
    /// `false` if the connection is in another state.
    #[must_use]
    pub fn begin_probe(&mut self, now: ClockTime, id: ConnectionId) -> bool {
        let is_unused = matches!(
            self.state(id),
            Some(ConnectionState::Idle | ConnectionState::Suspect)
        );
        if is_unused {
            self.probe(now, id);
        }
        is_unused
    }

    /// Records that a connection was opened. It is busy until `record_answer`, also if it was opened before a request
    /// needs it.
    pub fn record_open(&mut self, now: ClockTime, id: ConnectionId) {
        self.opening_count = self.opening_count.saturating_sub(1);
        self.last_proven_at = Some(now);
        let record = ConnectionRecord {
            state: ConnectionState::Busy(now),
            proven_at: now,
            is_exempt: false,
        };
        self.connections.insert(id, record);
    }

    /// Records that a connection could not be opened.
    pub fn record_open_failure(&mut self) {
        self.opening_count = self.opening_count.saturating_sub(1);
    }

    /// Records that a byte arrived on a connection.
    pub fn record_byte(&mut self, now: ClockTime, id: ConnectionId) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.proven_at = now;
            self.last_proven_at = Some(now);
        }
    }

    /// Records that the whole answer to a request or probe arrived, which makes the connection idle.
    pub fn record_answer(&mut self, now: ClockTime, id: ConnectionId) {
        self.record_byte(now, id);
        if let Some(record) = self.connections.get_mut(&id) {
            record.state = ConnectionState::Idle;
            record.is_exempt = false;
        }
    }

    /// Exempts a busy connection from `check_silence` until its answer arrives.
    ///
    /// Closing the connection of a request that must not be sent again has no benefit before the deadline: its
    /// outcome would become unknown although the upstream may only be slow.
    pub fn exempt_from_silence_check(&mut self, id: ConnectionId) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.is_exempt = true;
        }
    }

    /// Removes a connection that was closed, carried the answer to another request, or failed a probe.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Finds connections that received no byte for `limit` after a request or probe was written.
    ///
    /// Such a connection is silent if another connection to the upstream received a byte or was opened in the
    /// meantime. Idle connections that were last proven alive before that become suspect.
    ///
    /// If no other connection received a byte or was opened, the upstream itself is suspect: open a connection to
    /// check it. Since the upstream may only be slow, no connection is closed then, except that the one that waits
    /// longest makes room for the new connection if the maximum is reached.
    pub fn check_silence(&mut self, now: ClockTime, limit: Duration) -> SilenceReport {
        let mut report = SilenceReport::default();
        let late: Vec<(ConnectionId, ClockTime)> = self
            .connections
            .iter()
            .filter(|(_, record)| !record.is_exempt)
            .filter_map(|(&id, record)| {
                let since = waiting_since(record)?.max(record.proven_at);
                (now.since(since) >= limit).then_some((id, since))
            })
            .collect();
        let Some(&(longest, earliest)) = late.iter().min_by_key(|(_, since)| *since) else {
            return report;
        };
        let Some(last_proven_at) = self.last_proven_at.filter(|time| *time > earliest) else {
            report.is_upstream_suspect = true;
            if self.connection_count() >= self.max_connections {
                self.connections.remove(&longest);
                report.silent.push(longest);
            }
            return report;
        };
        for (id, since) in late {
            if since < last_proven_at {
                self.connections.remove(&id);
                report.silent.push(id);
            }
        }
        for (&id, record) in &mut self.connections {
            if record.state == ConnectionState::Idle && record.proven_at < last_proven_at {
                record.state = ConnectionState::Suspect;
                report.suspect.push(id);
            }
        }
        report
    }

    /// Marks every idle connection as suspect, for example after a pause of this process.
    pub fn mark_all_suspect(&mut self) {
        for record in self.connections.values_mut() {
            if record.state == ConnectionState::Idle {
                record.state = ConnectionState::Suspect;
            }
        }
    }

    /// Changes the maximum number of connections. Removes the unused connections in excess of it, those proven alive
    /// least recently first, and returns them to be closed. Connections in excess that are in use now are returned by
    /// a later call.
    pub fn set_max_connections(&mut self, max_connections: u32) -> Vec<ConnectionId> {
        self.max_connections = max_connections;
        let mut unused: Vec<(ClockTime, ConnectionId)> = self
            .connections
            .iter()
            .filter(|(_, record)| waiting_since(record).is_none())
            .map(|(&id, record)| (record.proven_at, id))
            .collect();
        unused.sort_unstable();
        let excess = self.connection_count().saturating_sub(max_connections) as usize;
        let removed: Vec<ConnectionId> =
            unused.into_iter().take(excess).map(|(_, id)| id).collect();
        for id in &removed {
            self.connections.remove(id);
        }
        removed
    }

    fn use_suspect(&mut self, now: ClockTime, policy: RepeatPolicy) -> ConnectionPlan {
        let suspect = self.find_latest(|record| record.state == ConnectionState::Suspect);
        match (suspect, policy) {
            (Some(id), RepeatPolicy::Idempotent) => self.probe(now, id),
            (Some(id), RepeatPolicy::NonIdempotent) => self.replace(id),
            (None, _) => ConnectionPlan::Wait,
        }
    }

    fn use_idle(&mut self, now: ClockTime, id: ConnectionId) -> ConnectionPlan {
        self.set_state(id, ConnectionState::Busy(now));
        ConnectionPlan::Use(id)
    }

    fn probe(&mut self, now: ClockTime, id: ConnectionId) -> ConnectionPlan {
        self.set_state(id, ConnectionState::Probing(now));
        ConnectionPlan::Probe(id)
    }

    fn replace(&mut self, id: ConnectionId) -> ConnectionPlan {
        self.connections.remove(&id);
        self.opening_count += 1;
        ConnectionPlan::Replace(id)
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.state = state;
        }
    }

    fn is_proven(&self, now: ClockTime, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|record| now.since(record.proven_at) < MAX_PROOF_AGE)
    }

    /// Finds the matching connection that was proven alive most recently.
    fn find_latest(&self, matches: impl Fn(&ConnectionRecord) -> bool) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, record)| matches(record))
            .max_by_key(|(_, record)| record.proven_at)
            .map(|(&id, _)| id)
    }

    fn unproven_request_count(&self, now: ClockTime) -> usize {
        self.connections
            .values()
            .filter(|record| now.since(record.proven_at) >= MAX_PROOF_AGE)
            .filter(|record| matches!(record.state, ConnectionState::Busy(_)))
            .count()
    }
}

/// Returns the time at which the outstanding request or probe was written, or `None` if there is none.
fn waiting_since(record: &ConnectionRecord) -> Option<ClockTime> {
    match record.state {
        ConnectionState::Busy(since) | ConnectionState::Probing(since) => Some(since),
        ConnectionState::Idle | ConnectionState::Suspect => None,
    }
}
