use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwner;

/// The live instances, this one included, and the owners of shards among them.
#[derive(Default)]
pub(crate) struct LiveFleet {
    live: Vec<InstanceId>,
    owners: ShardOwner,
}

impl LiveFleet {
    pub(crate) fn new(mut live: Vec<InstanceId>) -> Self {
        live.sort();
        let owners = ShardOwner::new(live.iter().cloned());
        Self { live, owners }
    }

    pub(crate) fn owner(&self, service: &ServiceName, shard: &ShardName) -> Option<&InstanceId> {
        self.owners.owner(service, shard)
    }

    /// Number of live instances, at least one.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.live.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Says whether the live instances are those of `other`.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.live == other.live
    }
}
