use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwner;

use super::Desk;

/// The owning entry of every shard of a service among the entries of a list.
#[derive(Clone, Debug)]
pub(crate) struct OwnerPlan {
    owners: Vec<usize>,
}

impl OwnerPlan {
    /// The owners among `entries`, which must not be empty.
    pub(crate) fn new(desk: &Desk, entries: impl IntoIterator<Item = usize>) -> Self {
        let entries: Vec<(InstanceId, usize)> = entries
            .into_iter()
            .map(|entry| (valid(&format!("entry-{entry}")), entry))
            .collect();
        let owners = ShardOwner::new(entries.iter().map(|(id, _)| id.clone()));
        let service: ServiceName = valid(&desk.name.replace(' ', "-"));
        let owner_of = |shard: usize| {
            let shard: ShardName = valid(&format!("shard-{shard}"));
            let owner = owners.owner(&service, &shard);
            let known = entries.iter().find(|(id, _)| Some(id) == owner);
            known.expect("a live entry owns every shard").1
        };
        Self {
            owners: (0..desk.shards).map(owner_of).collect(),
        }
    }

    pub(crate) fn owner(&self, shard: usize) -> usize {
        self.owners[shard]
    }
}

fn valid<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the load tool's names are valid")
}
