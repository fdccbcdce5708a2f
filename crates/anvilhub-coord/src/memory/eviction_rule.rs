use std::time::Duration;

use crate::ids::ByteSize;
use crate::time::ClockTime;

use super::{ClientPhase, ClientView};

/// Chooses the connection to close when memory or connections run out.
///
/// Designed for crowds of clients that send requests which never end, or that do not read their answers. What they hold
/// is given to clients that make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionRule {
    /// Time without progress after which a client that sends a request counts as stalled.
    pub stall_time: Duration,
    /// The same for a client to which an answer is sent. It is longer, since progress is seen only when a part of the
    /// kernel's buffer has become free.
    pub answer_stall_time: Duration,
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
        let is_stalled = |client: &ClientView| self.is_stalled(now, client);
        let chosen = clients
            .filter(|client| self.is_evictable(now, client) && client.held.get() > 0)
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
    /// progress for the longest time. `None` if all connections are serving requests or send answers
    /// that their clients take.
    pub fn choose_for_connection(
        &self,
        now: ClockTime,
        clients: impl Iterator<Item = ClientView>,
    ) -> Option<u64> {
        let evictable = clients.filter(|client| self.is_evictable(now, client));
        let chosen = evictable.min_by_key(|client| client.progress_at)?;
        Some(chosen.number)
    }

    /// Returns whether a connection may be closed. A request that is being served goes on, since it may have reached an
    /// upstream, and an answer that its client takes is sent to the end, however slowly.
    fn is_evictable(&self, now: ClockTime, client: &ClientView) -> bool {
        match client.phase {
            ClientPhase::Idle | ClientPhase::Head | ClientPhase::Body => true,
            ClientPhase::Answer => client.is_blocked && self.is_stalled(now, client),
            ClientPhase::Served => false,
        }
    }

    fn is_stalled(&self, now: ClockTime, client: &ClientView) -> bool {
        let stall_time = match client.phase {
            ClientPhase::Answer => self.answer_stall_time,
            _ => self.stall_time,
        };
        now.since(client.progress_at) >= stall_time
    }
}
