use crate::ids::ConnectionLimit;

/// One share is reserved per this many live instances, for instances that join before the others know of them.
const INSTANCES_PER_RESERVED_SHARE: u32 = 4;

/// Divides a replica's connection limit among the live instances.
///
/// Instance lists lag, so instances count different numbers of live instances for a while. The reserved shares keep
/// the sum of all shares within the limit as long as these numbers differ by at most a quarter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    instance_count: u32,
}

impl ConnectionShare {
    /// Creates the division among `instance_count` live instances, which include this one and those that are leaving.
    pub fn new(instance_count: u32) -> Self {
        Self {
            instance_count: instance_count.max(1),
        }
    }

    /// Returns the maximum number of connections of an instance if every instance sends to the replica.
    ///
    /// `rank` is the zero-based index of the instance in the sorted list. It matters only if there are more instances
    /// than connections: instances with a high rank then get none and send through an owner.
    pub fn max_direct_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let even_share = limit.get() / self.share_count();
        match even_share {
            0 => u32::from(rank < limit.get()),
            even_share => even_share,
        }
    }

    /// Returns the maximum number of connections of an instance that does not own the replica's shard. It uses them to
    /// bypass a silent owner.
    pub fn max_bypass_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        self.max_direct_connections(limit, rank).min(1)
    }

    /// Returns the maximum number of connections of the owner of the replica's shard. It gets half of what the other
    /// instances leave, since two instances may both act as the owner while the list changes.
    pub fn max_owner_connections(self, limit: ConnectionLimit, rank: u32) -> u32 {
        let reserved = self.share_count().min(limit.get());
        let remaining = limit.get() - reserved;
        self.max_bypass_connections(limit, rank) + remaining / 2
    }

    fn share_count(self) -> u32 {
        self.instance_count + self.instance_count.div_ceil(INSTANCES_PER_RESERVED_SHARE)
    }
}
