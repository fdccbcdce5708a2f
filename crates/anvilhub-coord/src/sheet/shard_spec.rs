use crate::ids::{ShardName, SlotCount};
use crate::keyspace::KeyRange;

use super::ReplicaSpec;

/// A part of a service's key space and the replicas that serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSpec {
    /// Name, unique within the service.
    pub name: ShardName,
    /// Range of keys that the shard holds.
    pub range: KeyRange,
    /// Upstreams that serve the range; at least one.
    pub replicas: Vec<ReplicaSpec>,
}

impl ShardSpec {
    /// Returns the number of slots of all replicas together.
    pub fn slots(&self) -> SlotCount {
        SlotCount(
            self.replicas
                .iter()
                .map(|replica| replica.slots.get())
                .sum(),
        )
    }
}
