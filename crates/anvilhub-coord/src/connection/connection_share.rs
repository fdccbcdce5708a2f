use crate::ids::ConnectionLimit;

/// One share is reserved per this many live instances, for instances that join before the others know of them.
const INSTANCES_PER_RESERVED_SHARE: u32 = 4;

/// Divides a replica's connection limit among the live instances.
///
/// Instance lists lag, so instances disagree about their number for a while. The reserve keeps the sum of the
/// shares within the limit as long as their counts differ by at most a quarter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    live_instances: u32,
}

impl ConnectionShare {
    /// Creates the division among `live_instances`, a count that includes this instance and those that are leaving.
    pub fn new(live_instances: u32) -> Self {
        Self {
            live_instances: live_instances.max(1),
        }
    }

    /// Number of connections of an instance if every instance sends to the replica.
    ///
    /// `rank` is the zero-based index of the instance in the sorted list. It matters only if there are more instances
    /// than connections: then some get none and send through an owner.
    pub fn direct_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let even_share = limit.get() / self.share_count();
        match even_share {
            0 => u32::from(rank < limit.get()),
            even_share => even_share,
        }
    }

    /// Number of connections of an instance that does not own the replica's shard, to bypass a silent owner.
    pub fn bypass_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        self.direct_connections(limit, rank).min(1)
    }

    /// Number of connections of the owner of the replica's shard. It gets half of what the other instances leave,
    /// since two instances may both act as the owner while the list changes.
    pub fn owner_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let reserved = self.share_count().min(limit.get());
        let remaining = limit.get() - reserved;
        self.bypass_connections(limit, rank) + remaining / 2
    }

    fn share_count(self) -> u32 {
        self.live_instances + self.live_instances.div_ceil(INSTANCES_PER_RESERVED_SHARE)
    }
}
