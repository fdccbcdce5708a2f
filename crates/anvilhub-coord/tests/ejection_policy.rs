//! Guards against ejections that leave a shard without replicas or disable a large part of a service, for example when
//! many upstreams are slow or fail at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilhub_coord::routing::{EjectionCandidate, EjectionPolicy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn create_candidate(shard: usize, latency_ms: u64) -> EjectionCandidate {
    EjectionCandidate {
        shard,
        latency: Some(Duration::from_millis(latency_ms)),
        sample_count: 100,
        ..EjectionCandidate::default()
    }
}

#[test]
fn slow_upstream_ejected() {
    let mut upstreams: Vec<_> = (0..12)
        .map(|index| create_candidate(index / 2, 5))
        .collect();
    upstreams[3].latency = Some(Duration::from_millis(50));

    assert_eq!(EjectionPolicy.select_ejections(&upstreams), [3]);
}

#[test]
fn last_replica_kept() {
    let failing = EjectionCandidate {
        failure_count: 100,
        ..create_candidate(0, 900)
    };
    let leaving = EjectionCandidate {
        is_leaving: true,
        ..create_candidate(0, 5)
    };
    let peers = (1..10).map(|shard| create_candidate(shard, 5));
    let upstreams: Vec<_> = [failing, leaving].into_iter().chain(peers).collect();

    assert!(EjectionPolicy.select_ejections(&upstreams).is_empty());
}

#[test]
fn limits_always_hold() {
    for seed in 0..500 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let shards = rng.random_range(1..12);
        let mut upstreams: Vec<_> = (0..rng.random_range(shards..shards * 5))
            .map(|index| EjectionCandidate {
                shard: index % shards,
                latency: rng
                    .random_bool(0.9)
                    .then(|| Duration::from_millis(rng.random_range(1..200))),
                sample_count: rng.random_range(0..20),
                failure_count: rng.random_range(0..9),
                is_leaving: rng.random_bool(0.1),
                is_ejected: false,
                is_on_trial: rng.random_bool(0.2),
            })
            .collect();
        for _ in 0..5 {
            let before = count_usable_by_shard(&upstreams);
            for index in EjectionPolicy.select_ejections(&upstreams) {
                assert!(!upstreams[index].is_leaving && !upstreams[index].is_ejected);
                upstreams[index].is_ejected = true;
            }
            let ejected = upstreams
                .iter()
                .filter(|upstream| upstream.is_ejected)
                .count();
            assert!(
                ejected <= upstreams.len() / 3,
                "seed {seed}: {ejected} ejected"
            );
            let after = count_usable_by_shard(&upstreams);
            for shard in before.keys() {
                assert!(
                    after.contains_key(shard),
                    "seed {seed}: shard {shard} has no replica"
                );
            }
        }
    }
}

fn count_usable_by_shard(upstreams: &[EjectionCandidate]) -> BTreeMap<usize, usize> {
    let mut usable = BTreeMap::new();
    for upstream in upstreams
        .iter()
        .filter(|upstream| !upstream.is_ejected && !upstream.is_leaving)
    {
        *usable.entry(upstream.shard).or_default() += 1;
    }
    usable
}

#[test]
fn trial_failure_ejects() {
    let mut upstreams: Vec<_> = (0..6).map(|index| create_candidate(index / 2, 5)).collect();
    upstreams[0].failure_count = 1;
    assert!(EjectionPolicy.select_ejections(&upstreams).is_empty());

    upstreams[0].is_on_trial = true;
    assert_eq!(EjectionPolicy.select_ejections(&upstreams), [0]);
}
