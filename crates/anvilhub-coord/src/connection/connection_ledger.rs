use std::collections::BTreeMap;
use std::time::Duration;

use crate::sheet::RepeatPolicy;
use crate::time::ClockTime;

use super::{ConnectionId, ConnectionState};

/// Age of the last byte up to which a connection is proven. Something between the two ends may lose track
/// of connections at any time, so an older proof says little.
const PROOF_AGE: Duration = Duration::from_secs(1);
/// Requests that may be outstanding on connections without recent proof of life.
const MOST_UNPROVEN: usize = 1;

/// Which connection carries the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// Write the request on this connection; it is now busy.
    Use(ConnectionId),
    /// Send a probe on this connection and ask again; it is now probing.
    Probe(ConnectionId),
    /// Open a connection, call `opened`, and write the request on it. The place is reserved.
    Open,
    /// Close this unproven connection, then do as for `Open`. It is removed and the place is reserved.
    Replace(ConnectionId),
    /// Every connection is in use: wait until one ends.
    Wait,
}

/// Connections that a check found silent or doubtful.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceReport {
    /// Silent connections to close; they are removed. Their requests have the state `Broken`.
    pub silent: Vec<ConnectionId>,
    /// Idle connections that became suspect.
    pub suspect: Vec<ConnectionId>,
    /// Whether no connection answers, so that the upstream itself is suspect.
    pub is_upstream_suspect: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: ConnectionState,
    proof: ClockTime,
    /// Whether the request that it carries is waited for, however late.
    kept: bool,
}

/// The connections of one instance to one upstream.
///
/// One request at a time uses a connection, so a connection that becomes silent affects one request. When all
/// become silent at once, the affected requests are those outstanding at that time, one per connection proven
/// within the last second, and one on an unproven connection.
#[derive(Clone, Debug)]
pub struct ConnectionLedger {
    share: u32,
    opening: u32,
    connections: BTreeMap<ConnectionId, Record>,
    last_proof: Option<ClockTime>,
}

impl ConnectionLedger {
    /// A ledger that opens at most `share` connections.
    pub fn new(share: u32) -> Self {
        Self {
            share,
            opening: 0,
            connections: BTreeMap::new(),
            last_proof: None,
        }
    }

    /// Number of connections, with those that are opening.
    pub fn connection_count(&self) -> u32 {
        self.connections.len() as u32 + self.opening
    }

    /// Says whether `acquire` would answer `Wait`.
    pub fn is_full(&self) -> bool {
        self.connection_count() >= self.share
            && self
                .connections
                .values()
                .all(|record| waiting_since(record).is_some())
    }

    /// State of a connection, `None` when it is not held.
    pub fn state(&self, id: ConnectionId) -> Option<ConnectionState> {
        self.connections.get(&id).map(|record| record.state)
    }

    /// Chooses a connection for a request.
    ///
    /// A non-idempotent request gets one with recent proof of life or a fresh one. An idempotent request may
    /// also use an unproven one, a single one at a time.
    pub fn acquire(&mut self, now: ClockTime, repeat: RepeatPolicy) -> ConnectionPlan {
        let idle = self.latest(|record| record.state == ConnectionState::Idle);
        if let Some(id) = idle.filter(|id| self.is_proven(now, *id)) {
            return self.take(now, id);
        }
        if self.connection_count() < self.share {
            self.opening += 1;
            return ConnectionPlan::Open;
        }
        let unproven_room = self.unproven_outstanding(now) < MOST_UNPROVEN;
        match (idle, repeat) {
            (Some(id), RepeatPolicy::Idempotent) if unproven_room => self.take(now, id),
            (Some(id), RepeatPolicy::NonIdempotent) => self.replace(id),
            (Some(id), RepeatPolicy::Idempotent) => self.probe(now, id),
            (None, _) => self.use_suspect(now, repeat),
        }
    }

    /// Reserves the place of a connection that is opened before a request needs it; `false` when the share is
    /// used up. Call `opened` and `finished`, or `open_failed`, afterwards.
    #[must_use]
    pub fn reserve(&mut self) -> bool {
        let free = self.connection_count() < self.share;
        self.opening += u32::from(free);
        free
    }

    /// Starts a probe on an idle or suspect connection, to renew its proof of life before a request needs it.
    #[must_use]
    pub fn begin_probe(&mut self, now: ClockTime, id: ConnectionId) -> bool {
        let rests = matches!(
            self.state(id),
            Some(ConnectionState::Idle | ConnectionState::Suspect)
        );
        if rests {
            self.probe(now, id);
        }
        rests
    }

    /// Counts a connection that opened for a request, which it now carries.
    pub fn record_open(&mut self, now: ClockTime, id: ConnectionId) {
        self.opening = self.opening.saturating_sub(1);
        self.last_proof = Some(now);
        let record = Record {
            state: ConnectionState::Busy(now),
            proof: now,
            kept: false,
        };
        self.connections.insert(id, record);
    }

    /// Counts a connection that failed to open.
    pub fn record_open_failure(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Notes that a byte arrived on a connection.
    pub fn record_byte(&mut self, now: ClockTime, id: ConnectionId) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.proof = now;
            self.last_proof = Some(now);
        }
    }

    /// Notes that the whole answer to a request or probe arrived: the connection is idle.
    pub fn record_answer(&mut self, now: ClockTime, id: ConnectionId) {
        self.record_byte(now, id);
        if let Some(record) = self.connections.get_mut(&id) {
            record.state = ConnectionState::Idle;
            record.kept = false;
        }
    }

    /// Exempts a busy connection from the check for silence until its answer arrives.
    ///
    /// For a request that must not be sent again nothing is won by closing its connection before its deadline:
    /// its outcome would become unknown although the upstream may only be slow.
    pub fn exempt_from_silence_check(&mut self, id: ConnectionId) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.kept = true;
        }
    }

    /// Removes a connection that closed, carried a mismatching answer, or failed a probe.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Finds connections that carried no byte for `limit` after a request or probe was written.
    ///
    /// A connection is silent when another one to the upstream proved to be alive meanwhile. Idle connections
    /// whose own proof is older than the last one then become suspect. Without such a proof the upstream is
    /// suspect: open a connection to find out. Only when the share is used up, the one that waits longest is
    /// closed to make room, since the upstream may only be slow.
    pub fn check_silence(&mut self, now: ClockTime, limit: Duration) -> SilenceReport {
        let mut report = SilenceReport::default();
        let late: Vec<(ConnectionId, ClockTime)> = self
            .connections
            .iter()
            .filter(|(_, record)| !record.kept)
            .filter_map(|(&id, record)| {
                let since = waiting_since(record)?.max(record.proof);
                (now.since(since) >= limit).then_some((id, since))
            })
            .collect();
        let Some(&(longest, earliest)) = late.iter().min_by_key(|(_, since)| *since) else {
            return report;
        };
        let Some(proof) = self.last_proof.filter(|proof| *proof > earliest) else {
            report.is_upstream_suspect = true;
            if self.connection_count() >= self.share {
                self.connections.remove(&longest);
                report.silent.push(longest);
            }
            return report;
        };
        for (id, since) in late {
            if since < proof {
                self.connections.remove(&id);
                report.silent.push(id);
            }
        }
        for (&id, record) in &mut self.connections {
            if record.state == ConnectionState::Idle && record.proof < proof {
                record.state = ConnectionState::Suspect;
                report.suspect.push(id);
            }
        }
        report
    }

    /// Makes every idle connection suspect, such as after a pause of this process.
    pub fn mark_all_suspect(&mut self) {
        for record in self.connections.values_mut() {
            if record.state == ConnectionState::Idle {
                record.state = ConnectionState::Suspect;
            }
        }
    }

    /// Changes the share and returns connections to close now, least recently proven first; they are removed.
    /// Busy ones above the share are returned by later calls, after they finished.
    pub fn set_share(&mut self, share: u32) -> Vec<ConnectionId> {
        self.share = share;
        let mut spare: Vec<(ClockTime, ConnectionId)> = self
            .connections
            .iter()
            .filter(|(_, record)| waiting_since(record).is_none())
            .map(|(&id, record)| (record.proof, id))
            .collect();
        spare.sort_unstable();
        let excess = self.connection_count().saturating_sub(share) as usize;
        let closed: Vec<ConnectionId> = spare.into_iter().take(excess).map(|(_, id)| id).collect();
        for id in &closed {
            self.connections.remove(id);
        }
        closed
    }

    fn use_suspect(&mut self, now: ClockTime, repeat: RepeatPolicy) -> ConnectionPlan {
        let suspect = self.latest(|record| record.state == ConnectionState::Suspect);
        match (suspect, repeat) {
            (Some(id), RepeatPolicy::Idempotent) => self.probe(now, id),
            (Some(id), RepeatPolicy::NonIdempotent) => self.replace(id),
            (None, _) => ConnectionPlan::Wait,
        }
    }

    fn take(&mut self, now: ClockTime, id: ConnectionId) -> ConnectionPlan {
        self.set_state(id, ConnectionState::Busy(now));
        ConnectionPlan::Use(id)
    }

    fn probe(&mut self, now: ClockTime, id: ConnectionId) -> ConnectionPlan {
        self.set_state(id, ConnectionState::Probing(now));
        ConnectionPlan::Probe(id)
    }

    fn replace(&mut self, id: ConnectionId) -> ConnectionPlan {
        self.connections.remove(&id);
        self.opening += 1;
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
            .is_some_and(|record| now.since(record.proof) < PROOF_AGE)
    }

    /// The most recently proven connection that `matches`.
    fn latest(&self, matches: impl Fn(&Record) -> bool) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, record)| matches(record))
            .max_by_key(|(_, record)| record.proof)
            .map(|(&id, _)| id)
    }

    fn unproven_outstanding(&self, now: ClockTime) -> usize {
        self.connections
            .values()
            .filter(|record| now.since(record.proof) >= PROOF_AGE)
            .filter(|record| matches!(record.state, ConnectionState::Busy(_)))
            .count()
    }
}

fn waiting_since(record: &Record) -> Option<ClockTime> {
    match record.state {
        ConnectionState::Busy(since) | ConnectionState::Probing(since) => Some(since),
        ConnectionState::Idle | ConnectionState::Suspect => None,
    }
}
