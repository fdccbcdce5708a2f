use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwner;

/// How shards, slots and connections are divided among the entry instances.
#[derive(Clone, Debug)]
pub(crate) struct EntryDivision {
    /// What the division was made from.
    basis: (bool, Vec<InstanceId>),
    owners: ShardOwner,
    /// Peer addresses of the other instances that take work.
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Instances with connections, this one and leaving ones included.
    pub(crate) entries: u32,
    /// Place of this instance in the sorted list of those, from zero.
    pub(crate) rank: u32,
}

impl Default for EntryDivision {
    /// One instance that owns everything.
    fn default() -> Self {
        Self {
            basis: (false, Vec::new()),
            owners: ShardOwner::default(),
            addresses: BTreeMap::new(),
            entries: 1,
            rank: 0,
        }
    }
}

impl EntryDivision {
    /// The division among `own` and the `live` and `leaving` others.
    ///
    /// `own_live` says whether this instance takes part as an owner: one that stops does not.
    pub(crate) fn new(
        own: &InstanceId,
        own_live: bool,
        live: BTreeMap<InstanceId, SocketAddr>,
        leaving: impl IntoIterator<Item = InstanceId>,
    ) -> Self {
        let mut entries: Vec<InstanceId> = live.keys().cloned().chain(leaving).collect();
        entries.push(own.clone());
        entries.sort_unstable();
        entries.dedup();
        let rank = entries.iter().position(|entry| entry == own);
        let members = live.keys().cloned();
        let members = members.chain(own_live.then(|| own.clone()));
        Self {
            basis: (own_live, entries.clone()),
            owners: ShardOwner::new(members),
            addresses: live,
            entries: entries.len() as u32,
            rank: rank.unwrap_or_default() as u32,
        }
    }

    /// Peer address of the instance that queues for a shard, `None` when it is this one.
    pub(crate) fn owner_of(&self, service: &ServiceName, shard: &ShardName) -> Option<SocketAddr> {
        let owner = self.owners.owner(service, shard)?;
        self.addresses.get(owner).copied()
    }

    /// Says whether an instance that takes work has the peer address.
    pub(crate) fn has_peer(&self, address: SocketAddr) -> bool {
        self.addresses.values().any(|peer| *peer == address)
    }

    /// Says whether `other` divides among the same instances in the same way.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.basis == other.basis && self.addresses == other.addresses
    }
}
