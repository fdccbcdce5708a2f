use std::time::Duration;

use crate::ids::ByteSize;
use crate::time::ClockTime;

use super::ClientView;

/// Chooses the connection to close when memory or connections run out.
///
/// Designed for crowds of clients that send requests which never end, or that do not read their answers. What they hold
/// is given to clients that make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionRule {
    /// Time without progress after which a client counts as stalled.
    pub stall_time: Duration,
}

impl EvictionRule {
    /// Returns the number of the connection to close so that memory becomes free for a client that holds `own_size`:
    /// the largest of the stalled clients, or if there is none the largest of all, provided that it holds more than
    /// `own_size`. `None` if the client that needs the memory has to be refused instead.
    pub fn choose_for_memory(
        &self,
        now: ClockTime,
        clients: impl Iterator<Item = ClientView>,
        own_size: ByteSize,
    ) -> Option<u64> {
        let is_stalled = |client: &ClientView| now.since(client.progress_at) >= self.stall_time;
        let chosen = clients
            .filter(|client| client.is_evictable() && client.held.get() > 0)
            .filter(|client| is_stalled(client) || client.held > own_size)
            .max_by_key(|client| {
                (
                    is_stalled(client),
                    client.held,
                    now.since(client.progress_at),
                )
            })?;
        Some(chosen.number)
    }

    /// Returns the number of the connection to close so that a new one can be accepted: the one whose client has made no
    /// progress for the longest time. `None` if all connections are serving requests.
    pub fn choose_for_connection(clients: impl Iterator<Item = ClientView>) -> Option<u64> {
        let evictable = clients.filter(ClientView::is_evictable);
        let chosen = evictable.min_by_key(|client| client.progress_at)?;
        Some(chosen.number)
    }
}
