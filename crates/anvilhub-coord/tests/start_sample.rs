//! Guards against a start in a large fleet that waits forever for silent peers, queries too many peers, or puts an old
//! sheet in force.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use anvilhub_coord::configuration::SheetAlarm;
use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::{SampleAnswer, SampleRule, SampleVerdict, StartSample};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fleet_simulation::{FleetSimulation, id};

const SEED: u64 = 20_261_204;

fn instance_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i{index:04}")).collect()
}

fn listed(count: usize) -> BTreeSet<InstanceId> {
    instance_names(count).iter().map(|name| id(name)).collect()
}

fn create_sample(own_id: &str, count: usize) -> StartSample {
    StartSample::new(SampleRule::default(), &id(own_id), &listed(count)).unwrap()
}

/// Queries peers until enough have answered and returns the number of queried peers, or `None` if the instance is still
/// waiting after 500 queries.
fn count_queried(
    sample: &StartSample,
    answer: impl Fn(&InstanceId) -> SampleAnswer,
) -> Option<usize> {
    let queried = RefCell::new(BTreeSet::new());
    for query_count in 0..500 {
        let verdict = sample.evaluate(query_count, usize::MAX, |peer| {
            match queried.borrow().contains(peer) {
                true => answer(peer),
                false => SampleAnswer::Pending,
            }
        });
        match verdict {
            SampleVerdict::Enough => return Some(queried.borrow().len()),
            SampleVerdict::Query(peers) => queried.borrow_mut().extend(peers),
        }
    }
    None
}

#[test]
fn small_fleet_unsampled() {
    let rule = SampleRule::default();
    assert!(StartSample::new(rule, &id("own"), &listed(32)).is_none());
    assert!(StartSample::new(rule, &id("own"), &listed(33)).is_some());
}

#[test]
fn queries_bounded() {
    // Two cases: 29 failed instances, as many as fail in a day, are still listed; one of three regions is unreachable.
    let mut rng = SmallRng::seed_from_u64(SEED);
    println!("seed {SEED}");
    for silent_fraction in [29.0 / 1_899.0, 1.0 / 3.0] {
        let silent: BTreeSet<InstanceId> = listed(1_899)
            .into_iter()
            .filter(|_| rng.random_bool(silent_fraction))
            .collect();
        let mut max_queried = 0;
        for own in 0..200 {
            let sample = create_sample(&format!("own-{own}"), 1_899);
            let queried = count_queried(&sample, |peer| match silent.contains(peer) {
                true => SampleAnswer::Silent,
                false => SampleAnswer::Ready,
            });
            max_queried = max_queried.max(queried.expect("a start must not wait for silent peers"));
        }
        println!(
            "{} of 1,899 silent: at most {max_queried} queried",
            silent.len()
        );
        assert!(max_queried <= 42, "{max_queried}");
    }
}

#[test]
fn single_holder_found() {
    // After a mass restart a single peer may hold the sheet. Every instance must query it.
    for own in 0..20 {
        let sample = create_sample(&format!("own-{own}"), 1_899);
        let holder = id(&format!("i{:04}", own * 90));
        let is_holder_queried = RefCell::new(false);
        let queried = count_queried(&sample, |peer| {
            *is_holder_queried.borrow_mut() |= *peer == holder;
            SampleAnswer::NotReady
        });
        assert_eq!(queried, Some(1_899));
        assert!(*is_holder_queried.borrow());
    }
}

#[test]
fn silent_domain_awaited() {
    // No peer that answers has a sheet. A silent failure domain may hold one and must be waited for; 29 failed
    // instances need not be.
    let count_at_cold_start = |silent_count: usize| {
        let sample = create_sample("own", 1_899);
        let silent: BTreeSet<InstanceId> = listed(1_899).into_iter().take(silent_count).collect();
        count_queried(&sample, |peer| match silent.contains(peer) {
            true => SampleAnswer::Silent,
            false => SampleAnswer::NotReady,
        })
    };
    assert_eq!(count_at_cold_start(29), Some(1_899));
    assert_eq!(count_at_cold_start(59), Some(1_899));
    assert_eq!(count_at_cold_start(60), None);
    assert_eq!(count_at_cold_start(1_899 / 7), None);
}

#[test]
fn silent_peers_rotate() {
    // All 63 peers are silent at first. Each must be queried again, so that one that becomes reachable is found: by a
    // starting instance, and by a resumed one, which queries 8 peers at a time.
    let sample = create_sample("own", 63);
    for (limit, query_rounds) in [(usize::MAX, 3), (8, 8)] {
        let mut queried = BTreeSet::new();
        for query_count in 0..query_rounds {
            let verdict = sample.evaluate(query_count, limit, |_| SampleAnswer::Silent);
            if let SampleVerdict::Query(peers) = verdict {
                assert!(peers.len() <= 21.min(limit));
                queried.extend(peers);
            }
        }
        assert_eq!(queried.len(), 63);
    }
}

#[test]
fn queries_spread() {
    // After a mass restart, the instances must not all query the same few peers.
    let mut counts = std::collections::BTreeMap::new();
    for own in instance_names(1_900) {
        let sample = create_sample(&own, 1_900);
        if let SampleVerdict::Query(peers) =
            sample.evaluate(0, usize::MAX, |_| SampleAnswer::Pending)
        {
            for peer in peers {
                *counts.entry(peer).or_insert(0_u32) += 1;
            }
        }
    }
    let max_queries = counts.values().max().copied().unwrap_or(0);
    println!(
        "{} peers queried, at most {max_queries} times",
        counts.len()
    );
    assert!(max_queries <= 21 * 3, "{max_queries}");
}

/// Builds a fleet of 40 instances with version 2 in force, of which `silent_count` are paused, while the platform
/// serves version 1. Returns the fleet, the running instances and the paused ones.
fn build_stale_fleet(
    seed: u64,
    silent_count: usize,
) -> (FleetSimulation, Vec<InstanceId>, Vec<InstanceId>) {
    let names = instance_names(40);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let ids: Vec<InstanceId> = names.iter().map(|name| id(name)).collect();
    let mut fleet = FleetSimulation::new(&names);
    fleet.publish(11, 2, 0);
    fleet.run(Duration::from_secs(3));
    fleet.publish(10, 1, 0);
    let mut rng = SmallRng::seed_from_u64(seed);
    let silent: Vec<InstanceId> = ids
        .choose_multiple(&mut rng, silent_count)
        .cloned()
        .collect();
    silent.iter().for_each(|instance| fleet.pause(instance));
    let running = ids
        .iter()
        .filter(|instance| !silent.contains(instance))
        .cloned()
        .collect();
    (fleet, running, silent)
}

#[test]
fn silent_peers_tolerated() {
    for seed in SEED..SEED + 2 {
        println!("seed {seed}");
        let (mut fleet, running, _) = build_stale_fleet(seed, 13);
        for instance in &running[..2] {
            fleet.kill(instance);
            fleet.start(instance);
            fleet.run(Duration::from_secs(5));
            assert!(fleet.is_ready(instance), "{instance} never starts");
            assert_eq!(fleet.version(instance), Some(2));
        }
    }
}

#[test]
fn restart_finds_holder() {
    for seed in SEED..SEED + 2 {
        println!("seed {seed}");
        let (mut fleet, running, _) = build_stale_fleet(seed, 0);
        running[1..]
            .iter()
            .for_each(|instance| fleet.kill(instance));
        running[1..]
            .iter()
            .for_each(|instance| fleet.start(instance));
        fleet.run(Duration::from_secs(10));
        for instance in &running {
            assert_eq!(fleet.version(instance), Some(2), "{instance}");
        }
    }
}

#[test]
fn silent_holders_awaited() {
    // All holders of version 2 are silent and the other instances have restarted. The stale sheet must not come into
    // force.
    let (mut fleet, running, silent) = build_stale_fleet(SEED, 13);
    running.iter().for_each(|instance| fleet.kill(instance));
    running.iter().for_each(|instance| fleet.start(instance));
    fleet.run(Duration::from_secs(20));
    for instance in &running {
        assert_eq!(fleet.version(instance), None, "{instance}");
        let alarms = fleet.processes[instance].acceptor.alarms();
        assert!(alarms.contains(&SheetAlarm::FleetSilent), "{alarms:?}");
    }
    // When the holders answer, their sheet comes into force everywhere.
    silent.iter().for_each(|instance| fleet.resume(instance));
    fleet.run(Duration::from_secs(5));
    for instance in &running {
        assert_eq!(fleet.version(instance), Some(2), "{instance}");
    }
}
