use crate::ids::ConnectionLimit;

/// One reserved share per this many live entries, for entries that join while others still count them out.
const RESERVE_FRACTION: u32 = 4;

/// Division of a replica's connection limit among the live entries.
///
/// Lists lag, so entries disagree about their number for a while. The reserve keeps the sum of the shares within
/// the limit as long as the entries' counts differ by at most a quarter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    live_entries: u32,
}

impl ConnectionShare {
    /// The division among `live_entries`, which includes this instance and those that are leaving.
    pub fn new(live_entries: u32) -> Self {
        Self {
            live_entries: live_entries.max(1),
        }
    }

    /// Connections of an entry when every entry sends to the replica.
    ///
    /// `rank` is the place of the entry in the sorted list, from zero: it counts only when there are more
    /// entries than connections, so that some get none and send through an owner.
    pub fn direct_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let even = limit.get() / self.counted_entries();
        match even {
            0 => u32::from(rank < limit.get()),
            even => even,
        }
    }

    /// Connections of an entry that is not the owner of the replica's shard, to bypass a silent owner.
    pub fn bypass_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        self.direct_connections(limit, rank).min(1)
    }

    /// Connections of the owner of the replica's shard: half of what the others leave, since two instances
    /// may believe to be the owner while the list changes.
    pub fn owner_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let others = self.counted_entries().min(limit.get());
        let left = limit.get() - others;
        self.bypass_connections(limit, rank) + left / 2
    }

    fn counted_entries(self) -> u32 {
        self.live_entries + self.live_entries.div_ceil(RESERVE_FRACTION)
    }
}
