use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwners;

use super::ServiceLoad;

/// The owner of every shard of a service, for a given list of instances.
#[derive(Clone, Debug)]
pub(crate) struct OwnerPlan {
    owners: Vec<usize>,
}

impl OwnerPlan {
    /// Assigns every shard to one of `instances`, which must not be empty.
    pub(crate) fn new(service: &ServiceLoad, instances: impl IntoIterator<Item = usize>) -> Self {
        let instances: Vec<(InstanceId, usize)> = instances
            .into_iter()
            .map(|instance| (parse_name(&format!("entry-{instance}")), instance))
            .collect();
        let owners = ShardOwners::new(instances.iter().map(|(id, _)| id.clone()));
        let service_name: ServiceName = parse_name(&service.name.replace(' ', "-"));
        let owner_index = |shard: usize| {
            let shard: ShardName = parse_name(&format!("shard-{shard}"));
            let owner = owners.owner(&service_name, &shard);
            let record = instances.iter().find(|(id, _)| Some(id) == owner);
            record.expect("a live instance owns every shard").1
        };
        Self {
            owners: (0..service.shard_count).map(owner_index).collect(),
        }
    }

    /// Returns the index of the instance that owns `shard`.
    pub(crate) fn owner(&self, shard: usize) -> usize {
        self.owners[shard]
    }
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("generated names are valid")
}
