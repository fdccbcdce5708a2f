//! Guards against owners on which instances disagree, that change without need, or that are loaded unevenly.

use std::collections::BTreeMap;

use anvilhub_coord::configuration::ReaderElection;
use anvilhub_coord::ids::{FailureDomain, InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::ShardOwners;

fn members(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|index| format!("entry-{index}").parse().unwrap())
        .collect()
}

fn shards() -> Vec<(ServiceName, ShardName)> {
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
fn member_order_is_irrelevant() {
    let ascending = ShardOwners::new(members(8));
    let descending = ShardOwners::new(members(8).into_iter().rev());
    for (service, shard) in shards() {
        assert_eq!(
            ascending.owner(&service, &shard),
            descending.owner(&service, &shard)
        );
        let candidates = ascending.candidates(&service, &shard, 3);
        assert_eq!(Some(candidates[0]), ascending.owner(&service, &shard));
    }
}

#[test]
fn only_lost_shards_move() {
    let before = ShardOwners::new(members(8));
    let after = ShardOwners::new(members(8).into_iter().skip(1));
    for (service, shard) in shards() {
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
    let owners = ShardOwners::new(members(8));
    let mut counts: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    let shards = shards();
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

#[test]
fn readers_per_domain() {
    let election = ReaderElection::default();
    let domains: Vec<FailureDomain> = ["domain-a", "domain-b"]
        .map(|name| name.parse().unwrap())
        .into();
    let fleet: Vec<(InstanceId, FailureDomain)> = members(200)
        .into_iter()
        .enumerate()
        .map(|(index, member)| (member, domains[index % 2].clone()))
        .collect();
    let readers = |known: usize| {
        let is_reader = |own_id: &InstanceId, domain: &FailureDomain| {
            let members = fleet.iter().enumerate();
            let members =
                members.map(|(index, (id, domain))| (id, (index < known).then_some(domain)));
            election.is_reader(own_id, domain, members)
        };
        fleet
            .iter()
            .filter(|(own_id, domain)| is_reader(own_id, domain))
            .count()
    };
    assert_eq!(readers(200), 6);
    // If the domains are unknown, every instance reads: too many readers rather than none.
    assert_eq!(readers(0), 200);
}
