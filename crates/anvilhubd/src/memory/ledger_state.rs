use std::collections::HashMap;
use std::sync::Arc;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::memory::ClientView;
use tokio::sync::Notify;

use super::{MemoryKind, ServerKind};

/// An open connection of a client.
pub(super) struct ClientEntry {
    pub(super) view: ClientView,
    pub(super) server: ServerKind,
    /// Whether the connection was chosen to be closed.
    pub(super) is_evicted: bool,
    /// Wakes the connection's task when the connection was chosen to be closed.
    pub(super) eviction: Arc<Notify>,
}

/// What the ledger knows of memory and clients.
#[derive(Default)]
pub(super) struct LedgerState {
    pub(super) clients: HashMap<u64, ClientEntry>,
    /// Number of connections so far, which numbers the next one.
    pub(super) opened_count: u64,
    /// Memory held by kind.
    pub(super) held: HashMap<MemoryKind, u64>,
    /// Memory held in all.
    pub(super) used: u64,
    /// The part of `used` that evicted connections hold and are about to give back.
    reclaimed: u64,
    /// Number of connections that were chosen to be closed and are not closed yet.
    evicted_count: usize,
}

impl LedgerState {
    /// Returns whether `size` more bytes fit into `limit` once evicted connections have given theirs back.
    pub(super) fn has_room(&self, limit: u64, size: u64) -> bool {
        (self.used + size).saturating_sub(self.reclaimed) <= limit
    }

    /// Counts `size` bytes for `client`.
    pub(super) fn add(&mut self, client: u64, kind: MemoryKind, size: u64) {
        self.used += size;
        *self.held.entry(kind).or_default() += size;
        if let Some(entry) = self.clients.get_mut(&client) {
            entry.view.held = ByteSize(entry.view.held.get() + size);
            if entry.is_evicted {
                self.reclaimed += size;
            }
        }
    }

    /// Takes `size` bytes of `client` off again.
    pub(super) fn subtract(&mut self, client: u64, kind: MemoryKind, size: u64) {
        self.used = self.used.saturating_sub(size);
        if let Some(held) = self.held.get_mut(&kind) {
            *held = held.saturating_sub(size);
        }
        if let Some(entry) = self.clients.get_mut(&client) {
            entry.view.held = ByteSize(entry.view.held.get().saturating_sub(size));
            if entry.is_evicted {
                self.reclaimed = self.reclaimed.saturating_sub(size);
            }
        }
    }

    /// Returns the connections that were not chosen to be closed.
    pub(super) fn views(&self) -> impl Iterator<Item = (ServerKind, ClientView)> {
        let open = self.clients.values().filter(|entry| !entry.is_evicted);
        open.map(|entry| (entry.server, entry.view))
    }

    /// Marks a connection as chosen to be closed, wakes its task and returns what is known of it.
    pub(super) fn evict(&mut self, number: u64) -> Option<ClientView> {
        let entry = self.clients.get_mut(&number)?;
        entry.is_evicted = true;
        self.evicted_count += 1;
        self.reclaimed += entry.view.held.get();
        entry.eviction.notify_one();
        Some(entry.view)
    }

    /// Removes a connection that is closed.
    pub(super) fn remove(&mut self, number: u64) {
        if let Some(entry) = self.clients.remove(&number)
            && entry.is_evicted
        {
            self.reclaimed = self.reclaimed.saturating_sub(entry.view.held.get());
            self.evicted_count = self.evicted_count.saturating_sub(1);
        }
    }

    /// Returns the number of connections that were not chosen to be closed.
    pub(super) fn open_count(&self) -> usize {
        self.clients.len() - self.evicted_count
    }
}
