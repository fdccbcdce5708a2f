//! Guards against instances that disagree about the owner of a shard, owners that change although they are still live,
//! and owners that have many more shards than others.

use std::collections::BTreeMap;

use anvilhub_coord::configuration::ReaderElection;
use anvilhub_coord::ids::{FailureDomain, InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwners;

fn create_members(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|index| format!("entry-{index}").parse().unwrap())
        .collect()
}

fn create_shards() -> Vec<(ServiceName, ShardName)> {
    (0..400)
        .map(|index| {
            (
                "stock".parse().unwrap(),
                format!("shard-{index}").parse().unwrap(),
            )
        })
        .collect()
}

#[test]
fn member_order_irrelevant() {
    let ascending = ShardOwners::new(create_members(8));
    let descending = ShardOwners::new(create_members(8).into_iter().rev());
    for (service, shard) in create_shards() {
        assert_eq!(
            ascending.owner(&service, &shard),
            descending.owner(&service, &shard)
        );
        let candidates = ascending.candidates(&service, &shard, 3);
        assert_eq!(Some(candidates[0]), ascending.owner(&service, &shard));
    }
}

#[test]
fn unaffected_shards_stay() {
    let before = ShardOwners::new(create_members(8));
    let after = ShardOwners::new(create_members(8).into_iter().skip(1));
    for (service, shard) in create_shards() {
        let candidates = before.candidates(&service, &shard, 2);
        let expected_owner = match candidates[0].as_str() {
            "entry-0" => candidates[1],
            _ => candidates[0],
        };
        assert_eq!(after.owner(&service, &shard), Some(expected_owner));
    }
}

#[test]
fn shards_are_balanced() {
    let owners = ShardOwners::new(create_members(8));
    let mut counts: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    let shards = create_shards();
    for (service, shard) in &shards {
        *counts
            .entry(owners.owner(service, shard).unwrap())
            .or_default() += 1;
    }
    // The average is 50 shards per member. The hash is fixed, so the bounds cannot fail by chance.
    assert_eq!(counts.len(), 8);
    assert!(
        counts.values().all(|count| (30..=75).contains(count)),
        "{counts:?}"
    );
}

/// Guards against more readers of the platform than each failure domain needs, and against a fleet in which nobody
/// reads while the failure domains are unknown.
#[test]
fn domain_readers_limited() {
    let election = ReaderElection::default();
    let domains: Vec<FailureDomain> = ["domain-a", "domain-b"]
        .map(|name| name.parse().unwrap())
        .into();
    let fleet: Vec<(InstanceId, FailureDomain)> = create_members(200)
        .into_iter()
        .enumerate()
        .map(|(index, member)| (member, domains[index % 2].clone()))
        .collect();
    let readers = |known_domain_count: usize| {
        let is_reader = |own_id: &InstanceId, domain: &FailureDomain| {
            let members = fleet.iter().enumerate();
            let members = members
                .map(|(index, (id, domain))| (id, (index < known_domain_count).then_some(domain)));
            election.is_reader(own_id, domain, members)
        };
        fleet
            .iter()
            .filter(|(own_id, domain)| is_reader(own_id, domain))
            .count()
    };
    assert_eq!(readers(200), 6);
    // If the domains are unknown, every instance is a reader: too many readers are better than none.
    assert_eq!(readers(0), 200);
}
