use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwner;

/// How shards, slots and connections are divided among the entry instances.
#[derive(Clone, Debug)]
pub(crate) struct EntryDivision {
    /// Whether this instance can own shards.
    is_own_live: bool,
    /// Instances with connections in sorted order, this one and leaving ones included.
    instances: Vec<InstanceId>,
    owners: ShardOwner,
    /// Peer addresses of the other instances that accept work.
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Number of instances with connections, this one and leaving ones included.
    pub(crate) instance_count: u32,
    /// Index of this instance in the sorted list of them.
    pub(crate) rank: u32,
}

impl Default for EntryDivision {
    /// Creates the division of one instance that owns everything.
    fn default() -> Self {
        Self {
            is_own_live: false,
            instances: Vec::new(),
            owners: ShardOwner::default(),
            addresses: BTreeMap::new(),
            instance_count: 1,
            rank: 0,
        }
    }
}

impl EntryDivision {
    /// Divides among `own` and the `live` and `leaving` peers.
    ///
    /// `is_own_live` is false while this instance stops: it then owns no shard.
    pub(crate) fn new(
        own: &InstanceId,
        is_own_live: bool,
        live: BTreeMap<InstanceId, SocketAddr>,
        leaving: impl IntoIterator<Item = InstanceId>,
    ) -> Self {
        let mut instances: Vec<InstanceId> = live.keys().cloned().chain(leaving).collect();
        instances.push(own.clone());
        instances.sort_unstable();
        instances.dedup();
        let rank = instances.iter().position(|instance| instance == own);
        let members = live.keys().cloned();
        let members = members.chain(is_own_live.then(|| own.clone()));
        Self {
            is_own_live,
            owners: ShardOwner::new(members),
            addresses: live,
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
        self.addresses.get(owner).copied()
    }

    /// Returns whether a peer that accepts work has the peer address.
    pub(crate) fn has_peer(&self, address: SocketAddr) -> bool {
        self.addresses.values().any(|peer| *peer == address)
    }

    /// Returns whether `other` divides among the same instances at the same addresses.
    pub(crate) fn is_equivalent_to(&self, other: &Self) -> bool {
        self.is_own_live == other.is_own_live
            && self.instances == other.instances
            && self.addresses == other.addresses
    }
}
