//! Guards against a start in a large fleet that waits forever for silent peers, asks too many, or brings an old
//! sheet back.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use anvilhub_coord::configuration::SheetAlarm;
use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::{SampleAnswer, SampleRule, SampleVerdict, StartSample};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::{FleetSimulation, id};

const SEED: u64 = 20_261_204;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i{index:04}")).collect()
}

fn listed(count: usize) -> BTreeSet<InstanceId> {
    names(count).iter().map(|name| id(name)).collect()
}

fn sample(own: &str, count: usize) -> StartSample {
    StartSample::new(SampleRule::default(), &id(own), &listed(count)).unwrap()
}

/// Asks until the sample has enough and returns who was asked, or nobody when it still waits after many turns.
fn ask(sample: &StartSample, answer: impl Fn(&InstanceId) -> SampleAnswer) -> Option<usize> {
    let asked = RefCell::new(BTreeSet::new());
    for turn in 0..500 {
        let verdict = sample.evaluate(turn, usize::MAX, |peer| {
            match asked.borrow().contains(peer) {
                true => answer(peer),
                false => SampleAnswer::Pending,
            }
        });
        match verdict {
            SampleVerdict::Enough => return Some(asked.borrow().len()),
            SampleVerdict::Ask(peers) => asked.borrow_mut().extend(peers),
        }
    }
    None
}

#[test]
fn small_fleet_asks_all() {
    let rule = SampleRule::default();
    assert!(StartSample::new(rule, &id("own"), &listed(32)).is_none());
    assert!(StartSample::new(rule, &id("own"), &listed(33)).is_some());
}

#[test]
fn bounded_queries() {
    // 29 failures a day that the list still names, and a region of three that is cut off.
    let mut rng = SmallRng::seed_from_u64(SEED);
    println!("seed {SEED}");
    for silent_share in [29.0 / 1_899.0, 1.0 / 3.0] {
        let silent: BTreeSet<InstanceId> = listed(1_899)
            .into_iter()
            .filter(|_| rng.random_bool(silent_share))
            .collect();
        let mut most = 0;
        for own in 0..200 {
            let sample = sample(&format!("own-{own}"), 1_899);
            let asked = ask(&sample, |peer| match silent.contains(peer) {
                true => SampleAnswer::Silent,
                false => SampleAnswer::Ready,
            });
            most = most.max(asked.expect("a start must not wait for silent peers"));
        }
        println!("{} of 1,899 silent: at most {most} asked", silent.len());
        assert!(most <= 42, "{most}");
    }
}

#[test]
fn single_holder_found() {
    // After a mass restart one peer alone may hold the sheet: nobody goes on without it.
    for own in 0..20 {
        let sample = sample(&format!("own-{own}"), 1_899);
        let holder = id(&format!("i{:04}", own * 90));
        let asked = RefCell::new(false);
        let all = ask(&sample, |peer| {
            *asked.borrow_mut() |= *peer == holder;
            SampleAnswer::NotReady
        });
        assert_eq!(all, Some(1_899));
        assert!(*asked.borrow());
    }
}

#[test]
fn silent_domain_blocks_cold_start() {
    // Nobody who answers has a sheet. A silent failure domain may have one, 29 failed instances do not.
    let cold = |silent: usize| {
        let sample = sample("own", 1_899);
        let silent: BTreeSet<InstanceId> = listed(1_899).into_iter().take(silent).collect();
        ask(&sample, |peer| match silent.contains(peer) {
            true => SampleAnswer::Silent,
            false => SampleAnswer::NotReady,
        })
    };
    assert_eq!(cold(29), Some(1_899));
    assert_eq!(cold(59), Some(1_899));
    assert_eq!(cold(60), None);
    assert_eq!(cold(1_899 / 7), None);
}

#[test]
fn silent_peers_take_turns() {
    // All of 63 peers are silent at first. The one that returns must be asked again, by an instance that starts and
    // by a resumed one, which asks 8 at a time.
    let sample = sample("own", 63);
    for (limit, turns) in [(usize::MAX, 3), (8, 8)] {
        let mut asked = BTreeSet::new();
        for turn in 0..turns {
            if let SampleVerdict::Ask(peers) =
                sample.evaluate(turn, limit, |_| SampleAnswer::Silent)
            {
                assert!(peers.len() <= 21.min(limit));
                asked.extend(peers);
            }
        }
        assert_eq!(asked.len(), 63);
    }
}

#[test]
fn load_is_spread() {
    // A mass restart must not ask the same few peers.
    let mut counts = std::collections::BTreeMap::new();
    for own in names(1_900) {
        let sample = sample(&own, 1_900);
        if let SampleVerdict::Ask(peers) = sample.evaluate(0, usize::MAX, |_| SampleAnswer::Pending)
        {
            for peer in peers {
                *counts.entry(peer).or_insert(0_u32) += 1;
            }
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    println!("{} peers asked, at most {most} times", counts.len());
    assert!(most <= 21 * 3, "{most}");
}

/// 40 instances with version 2 in force, of which `silent` cannot be reached, while the platform serves version 1.
fn stale_fleet(seed: u64, silent: usize) -> (FleetSimulation, Vec<InstanceId>, Vec<InstanceId>) {
    let names = names(40);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let ids: Vec<InstanceId> = names.iter().map(|name| id(name)).collect();
    let mut fleet = FleetSimulation::new(&names);
    fleet.publish(11, 2, 0);
    fleet.run(Duration::from_secs(3));
    fleet.publish(10, 1, 0);
    let mut rng = SmallRng::seed_from_u64(seed);
    let silent: Vec<InstanceId> = ids.choose_multiple(&mut rng, silent).cloned().collect();
    silent.iter().for_each(|instance| fleet.pause(instance));
    let running = ids
        .iter()
        .filter(|instance| !silent.contains(instance))
        .cloned()
        .collect();
    (fleet, running, silent)
}

#[test]
fn start_beside_silent_peers() {
    for seed in SEED..SEED + 2 {
        println!("seed {seed}");
        let (mut fleet, running, _) = stale_fleet(seed, 13);
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
fn mass_restart_finds_holder() {
    for seed in SEED..SEED + 2 {
        println!("seed {seed}");
        let (mut fleet, running, _) = stale_fleet(seed, 0);
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
fn unreachable_holders_are_waited_for() {
    // All holders are silent and the others have restarted: the stale sheet must not come into force.
    let (mut fleet, running, silent) = stale_fleet(SEED, 13);
    running.iter().for_each(|instance| fleet.kill(instance));
    running.iter().for_each(|instance| fleet.start(instance));
    fleet.run(Duration::from_secs(20));
    for instance in &running {
        assert_eq!(fleet.version(instance), None, "{instance}");
        let alarms = fleet.processes[instance].acceptor.alarms();
        assert!(alarms.contains(&SheetAlarm::FleetSilent), "{alarms:?}");
    }
    // As soon as the holders answer, their sheet comes into force everywhere.
    silent.iter().for_each(|instance| fleet.resume(instance));
    fleet.run(Duration::from_secs(5));
    for instance in &running {
        assert_eq!(fleet.version(instance), Some(2), "{instance}");
    }
}
