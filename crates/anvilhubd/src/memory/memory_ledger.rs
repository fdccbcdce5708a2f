use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::memory::{ClientPhase, ClientView, EvictionRule, LedgerLimit};
use anvilhub_coord::time::ClockTime;
use derive_more::Display;
use log::warn;
use metrics::{counter, gauge};
use tokio::sync::Notify;

use crate::daemon_clock::DaemonClock;
use crate::pool::ANSWER_BUDGET;
use crate::routes::LockCell;

use super::{ClientAccount, ClientEntry, LedgerState};

/// When connections are closed. A client inside the documented limits sends a body without pauses of this length.
const EVICTION_RULE: EvictionRule = EvictionRule {
    stall_time: Duration::from_millis(500),
    answer_stall_time: Duration::from_secs(2),
};
/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub(crate) enum MemoryKind {
    /// Heads of requests, beyond what each connection may hold.
    #[display("head")]
    Head,
    /// Bodies that are being read or wait to be sent to upstreams.
    #[display("body")]
    Body,
    /// Answers that wait for their clients.
    #[display("answer")]
    Answer,
}

/// The server that accepted a connection. Each has connections of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub(crate) enum ServerKind {
    #[display("callers")]
    Callers,
    #[display("relay")]
    Relay,
    #[display("ready")]
    Ready,
}

/// Counts the memory that clients make this process hold, and closes connections when it runs out.
pub(crate) struct MemoryLedger {
    limit: LedgerLimit,
    clock: DaemonClock,
    state: LockCell<LedgerState>,
    log: LockCell<EvictionLog>,
}

/// Bounds the log lines about closed connections.
#[derive(Default)]
struct EvictionLog {
    written_at: Option<ClockTime>,
    /// Number of connections closed since the last line.
    count: u64,
}

impl MemoryLedger {
    /// Creates a ledger that gives out `limit`.
    pub(crate) fn new(limit: LedgerLimit, clock: DaemonClock) -> Arc<Self> {
        Arc::new(Self {
            limit,
            clock,
            state: LockCell::default(),
            log: LockCell::default(),
        })
    }

    /// Adds a new connection of `server`.
    pub(crate) fn open_account(self: &Arc<Self>, server: ServerKind) -> Arc<ClientAccount> {
        let eviction = Arc::new(Notify::new());
        let now = self.clock.now();
        let (number, evicted) = self.state.with(|state| {
            let number = state.opened_count;
            state.opened_count += 1;
            let view = ClientView {
                number,
                phase: ClientPhase::Idle,
                held: ByteSize(0),
                progress_at: now,
                is_blocked: false,
            };
            let entry = ClientEntry {
                view,
                server,
                is_evicted: false,
                eviction: Arc::clone(&eviction),
            };
            state.clients.insert(number, entry);
            (number, self.make_room_for_connection(state, now, number))
        });
        for view in evicted {
            self.record_eviction(view, "memory");
        }
        Arc::new(ClientAccount::new(Arc::clone(self), number, eviction))
    }

    /// Closes the connection of `server` that has made no progress for the longest time. Returns whether there is one.
    pub(crate) fn free_connection(&self, server: ServerKind) -> bool {
        let now = self.clock.now();
        let evicted = self.state.with(|state| {
            let views = state.views().filter(|(known, _)| *known == server);
            let views = views.map(|(_, view)| view);
            let number = EVICTION_RULE.choose_for_connection(now, views)?;
            state.evict(number)
        });
        if let Some(view) = evicted {
            self.record_eviction(view, "connections");
        }
        evicted.is_some()
    }

    /// Publishes the memory held by kind.
    pub(crate) fn report(&self) {
        let held = self.state.with(|state| state.held.clone());
        for (kind, size) in held {
            gauge!("anvilhub_held_bytes", "kind" => kind.to_string()).set(size as f64);
        }
        let answers = ANSWER_BUDGET.used();
        gauge!("anvilhub_held_bytes", "kind" => "upstream_answer").set(answers as f64);
        let limit = self.state.with(|state| self.limit_now(state));
        gauge!("anvilhub_held_bytes_limit").set(limit as f64);
    }

    /// Takes `size` bytes for `client`, closing connections if there is no room. Returns whether they were granted.
    pub(super) fn take(&self, client: u64, kind: MemoryKind, size: u64) -> bool {
        let now = self.clock.now();
        let (is_granted, evicted) = self.state.with(|state| {
            let own = state.clients.get(&client);
            if own.is_some_and(|own| own.is_evicted) {
                return (false, Vec::new());
            }
            let own_size = own.map_or(0, |own| own.view.held.get()) + size;
            let evicted = self.make_room(state, now, client, own_size, size);
            let is_granted = state.has_room(self.limit_now(state), size);
            if is_granted {
                state.add(client, kind, size);
            }
            (is_granted, evicted)
        });
        for view in evicted {
            self.record_eviction(view, "memory");
        }
        is_granted
    }

    /// Counts `size` bytes for `client` even if there is no room, closing other connections if possible.
    pub(super) fn force(&self, client: u64, kind: MemoryKind, size: u64) {
        let now = self.clock.now();
        let evicted = self.state.with(|state| {
            let evicted = self.make_room(state, now, client, 0, size);
            state.add(client, kind, size);
            evicted
        });
        for view in evicted {
            self.record_eviction(view, "memory");
        }
    }

    pub(super) fn give_back(&self, client: u64, kind: MemoryKind, size: u64) {
        self.state.with(|state| state.subtract(client, kind, size));
    }

    /// Changes what is known of a connection, and returns what `change` returns; `None` if the connection was chosen to
    /// be closed.
    pub(super) fn update<R>(
        &self,
        client: u64,
        change: impl FnOnce(&mut ClientView, ClockTime) -> R,
    ) -> Option<R> {
        let now = self.clock.now();
        self.state.with(|state| {
            let entry = state.clients.get_mut(&client)?;
            let result = change(&mut entry.view, now);
            (!entry.is_evicted).then_some(result)
        })
    }

    pub(super) fn close_account(&self, client: u64) {
        self.state.with(|state| state.remove(client));
    }

    /// Chooses connections to close until `size` bytes fit, or none is left to choose.
    fn make_room(
        &self,
        state: &mut LedgerState,
        now: ClockTime,
        client: u64,
        own_size: u64,
        size: u64,
    ) -> Vec<ClientView> {
        let mut evicted = Vec::new();
        while !state.has_room(self.limit_now(state), size) {
            let others = state.views().map(|(_, view)| view);
            let others = others.filter(|view| view.number != client);
            let chosen = EVICTION_RULE.choose_for_memory(now, others, ByteSize(own_size));
            match chosen.and_then(|number| state.evict(number)) {
                Some(view) => evicted.push(view),
                None => break,
            }
        }
        evicted
    }

    /// Makes room for what a new connection takes, which is no longer lent to the others. If closing connections that hold
    /// memory is not enough, one idle connection makes place for the new one, or there is none and the new one is closed.
    fn make_room_for_connection(
        &self,
        state: &mut LedgerState,
        now: ClockTime,
        client: u64,
    ) -> Vec<ClientView> {
        let mut evicted = self.make_room(state, now, client, 0, 0);
        if !state.has_room(self.limit_now(state), 0) {
            let others = state.views().map(|(_, view)| view);
            let others = others.filter(|view| view.number != client);
            let chosen = EVICTION_RULE.choose_for_connection(now, others);
            evicted.extend(state.evict(chosen.unwrap_or(client)));
        }
        evicted
    }

    /// Returns the limit with the connections that are open now.
    fn limit_now(&self, state: &LedgerState) -> u64 {
        self.limit.at(state.open_count()).get()
    }

    /// Counts a connection that was chosen to be closed, and logs it.
    fn record_eviction(&self, view: ClientView, shortage: &'static str) {
        counter!(
            "anvilhub_clients_evicted_total",
            "phase" => view.phase.to_string(), "shortage" => shortage
        )
        .increment(1);
        let now = self.clock.now();
        let count = self.log.with(|log| {
            log.count += 1;
            let is_due = log
                .written_at
                .is_none_or(|written_at| now.since(written_at) >= LOG_INTERVAL);
            is_due.then(|| {
                log.written_at = Some(now);
                std::mem::take(&mut log.count)
            })
        });
        let Some(count) = count else {
            return;
        };
        let (used, limit) = self.state.with(|state| (state.used, self.limit_now(state)));
        warn!(
            shortage,
            phase:% = view.phase,
            held_bytes = view.held.get(),
            stalled_ms = now.since(view.progress_at).as_millis() as u64,
            closed = count,
            used_bytes = used,
            limit_bytes = limit;
            "a client's connection is closed to make room"
        );
    }
}
