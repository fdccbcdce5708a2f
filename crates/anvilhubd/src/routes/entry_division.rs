use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwners;

/// How shards, slots and connections are divided among the entry instances.
#[derive(Clone, Debug)]
pub(crate) struct EntryDivision {
    /// Whether this instance accepts work, so that it can own shards.
    accepts_work: bool,
    /// Instances that may hold connections, sorted: live, draining and silent ones, and this instance.
    instances: Vec<InstanceId>,
    /// Assigns each shard to one of the instances that accept work.
    owners: ShardOwners,
    /// Peer addresses of the other instances that accept work.
    peer_addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Number of instances that may hold connections: live, draining and silent ones, and this instance.
    pub(crate) instance_count: u32,
    /// Index of this instance in the sorted list of instances that hold connections.
    pub(crate) rank: u32,
}

impl Default for EntryDivision {
    /// Creates the division before any instance is known: every shard counts as owned by this instance.
    fn default() -> Self {
        Self {
            accepts_work: false,
            instances: Vec::new(),
            owners: ShardOwners::default(),
            peer_addresses: BTreeMap::new(),
            instance_count: 1,
            rank: 0,
        }
    }
}

impl EntryDivision {
    /// Creates the division among this instance, whose id is `own_id`, the `live` peers, and `other_holders`, which own
    /// no shards but may still hold connections.
    ///
    /// `accepts_work` is false while this instance drains. It then owns no shard.
    pub(crate) fn new(
        own_id: &InstanceId,
        accepts_work: bool,
        live: BTreeMap<InstanceId, SocketAddr>,
        other_holders: impl IntoIterator<Item = InstanceId>,
    ) -> Self {
        let mut instances: Vec<InstanceId> = live.keys().cloned().chain(other_holders).collect();
        instances.push(own_id.clone());
        instances.sort_unstable();
        instances.dedup();
        let rank = instances.iter().position(|instance| instance == own_id);
        let members = live.keys().cloned();
        let members = members.chain(accepts_work.then(|| own_id.clone()));
        Self {
            accepts_work,
            owners: ShardOwners::new(members),
            peer_addresses: live,
            instance_count: instances.len() as u32,
            rank: rank.unwrap_or_default() as u32,
            instances,
        }
    }

    /// Returns the peer address of the instance that owns a shard, `None` when it is this one.
    pub(crate) fn owner_address(
        &self,
        service: &ServiceName,
        shard: &ShardName,
    ) -> Option<SocketAddr> {
        let owner = self.owners.owner(service, shard)?;
        self.peer_addresses.get(owner).copied()
    }

    /// Returns whether `address` is the peer address of another instance that accepts work.
    pub(crate) fn has_peer(&self, address: SocketAddr) -> bool {
        self.peer_addresses.values().any(|peer| *peer == address)
    }

    /// Returns whether `other` divides among the same instances at the same addresses.
    pub(crate) fn is_equivalent_to(&self, other: &Self) -> bool {
        self.accepts_work == other.accepts_work
            && self.instances == other.instances
            && self.peer_addresses == other.peer_addresses
    }
}
