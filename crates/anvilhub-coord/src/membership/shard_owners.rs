use std::cmp::Reverse;

use crate::ids::{InstanceId, ServiceName, ShardName};

use super::RendezvousHash;

/// Determines the owner of each shard, the instance that queues requests for it, by rendezvous hashing over the live
/// members.
///
/// Two instances that know different members may determine different owners. The slots in use are then counted less
/// accurately; nothing else depends on it.
#[derive(Clone, Debug, Default)]
pub struct ShardOwners {
    members: Vec<(RendezvousHash, InstanceId)>,
}

impl ShardOwners {
    /// Prepares to determine owners among `members`.
    pub fn new(members: impl IntoIterator<Item = InstanceId>) -> Self {
        let members = members
            .into_iter()
            .map(|id| (RendezvousHash::of_member(id.as_str()), id))
            .collect();
        Self { members }
    }

    /// Returns the owner of a shard, or `None` if there are no members.
    pub fn owner(&self, service: &ServiceName, shard: &ShardName) -> Option<&InstanceId> {
        let key = shard_key(service, shard);
        let best = self
            .members
            .iter()
            .max_by_key(|(hash, id)| (hash.score(key), id));
        best.map(|(_, id)| id)
    }

    /// Returns the owner of a shard, followed by the next `count - 1` instances to use if the owner does not answer.
    pub fn candidates(
        &self,
        service: &ServiceName,
        shard: &ShardName,
        count: usize,
    ) -> Vec<&InstanceId> {
        let key = shard_key(service, shard);
        let mut ranked: Vec<(u64, &InstanceId)> = self
            .members
            .iter()
            .map(|(hash, id)| (hash.score(key), id))
            .collect();
        ranked.sort_unstable_by_key(|candidate| Reverse(*candidate));
        ranked.into_iter().take(count).map(|(_, id)| id).collect()
    }
}

fn shard_key(service: &ServiceName, shard: &ShardName) -> RendezvousHash {
    RendezvousHash::of_key(&["shard", service.as_str(), shard.as_str()])
}
