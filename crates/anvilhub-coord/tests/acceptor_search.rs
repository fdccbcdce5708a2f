//! Guards against an order of events in which an accepted sheet reverts, or in which instances keep different sheets.
//!
//! Searches every order of a few kinds of events up to a given depth. `FleetSimulation` checks after each event that no
//! sheet in force reverts. From every reached state, connected instances must converge.

use std::collections::HashSet;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::SampleRule;

use crate::fleet_simulation::{FleetSimulation, id};

/// Time after which a candidate has settled. It is longer than the settling time.
const SETTLED_AFTER: Duration = Duration::from_millis(600);

/// Revision, version and content of the published sheets, in the order of publication. Version 2 has two contents.
const PUBLICATIONS: [(u64, u64, u64); 3] = [(11, 2, 1), (12, 2, 2), (13, 3, 0)];

#[derive(Clone, Copy, Debug)]
enum SearchEvent {
    /// The next sheet is published and one instance reads it.
    Publish {
        reader: usize,
    },
    /// The platform reverts to version 1 and one instance reads it.
    RevertPlatform {
        reader: usize,
    },
    Read {
        reader: usize,
    },
    Exchange {
        from: usize,
        to: usize,
        lose_answer: bool,
    },
    LoseFetch,
    Restart {
        instance: usize,
    },
    PauseAndResume {
        instance: usize,
    },
    TogglePartition {
        from: usize,
        to: usize,
    },
    Wait,
}

#[derive(Clone, Debug)]
struct SearchState {
    fleet: FleetSimulation,
    published_count: usize,
    restarts_left: u32,
}

impl SearchState {
    fn new(names: &[&str], sample: SampleRule) -> Self {
        let mut fleet = FleetSimulation::with_sample(names, sample);
        fleet.publish(10, 1, 0);
        fleet.run(Duration::from_secs(2));
        Self {
            fleet,
            published_count: 0,
            restarts_left: 2,
        }
    }

    /// Creates a state in which version 2 is in force everywhere, the platform has reverted to version 1, and the first
    /// instance is partitioned from the others.
    fn with_isolated_instance(names: &[&str], sample: SampleRule) -> Self {
        let mut state = Self::new(names, sample);
        let (revision, version, content) = PUBLICATIONS[0];
        state.fleet.publish(revision, version, content);
        state.fleet.run(Duration::from_secs(2));
        state.fleet.publish(10, 1, 0);
        for peer in &names[1..] {
            state.fleet.add_partition(&id(names[0]), &id(peer));
        }
        state.published_count = 1;
        state
    }

    /// Returns the state after `event`, or `None` if the event cannot occur in this state.
    fn apply(&self, event: SearchEvent, names: &[InstanceId]) -> Option<Self> {
        let mut next = self.clone();
        next.fleet.log.clear();
        let fleet = &mut next.fleet;
        match event {
            SearchEvent::Publish { reader } => {
                let (revision, version, content) = *PUBLICATIONS.get(self.published_count)?;
                fleet.publish(revision, version, content);
                fleet.read_platform(&names[reader]);
                next.published_count += 1;
            }
            SearchEvent::RevertPlatform { reader } => {
                fleet.publish(10, 1, 0);
                fleet.read_platform(&names[reader]);
            }
            SearchEvent::Read { reader } => fleet.read_platform(&names[reader]),
            SearchEvent::Exchange {
                from,
                to,
                lose_answer,
            } => fleet.exchange(&names[from], &names[to], lose_answer),
            SearchEvent::LoseFetch => fleet.fetches_to_fail = 1,
            SearchEvent::Restart { instance } => {
                next.restarts_left = self.restarts_left.checked_sub(1)?;
                fleet.kill(&names[instance]);
                fleet.start(&names[instance]);
            }
            SearchEvent::PauseAndResume { instance } => {
                fleet.now = fleet.now + SETTLED_AFTER;
                fleet.resume(&names[instance]);
            }
            SearchEvent::TogglePartition { from, to } => {
                let pair = (names[from].clone(), names[to].clone());
                match fleet.partitions.contains(&pair) {
                    true => fleet.partitions.clear(),
                    false => fleet.add_partition(&names[from], &names[to]),
                }
            }
            SearchEvent::Wait => fleet.tick(SETTLED_AFTER),
        }
        Some(next)
    }

    /// Ends all partitions, lets the instances exchange state without reading the platform, and checks that they
    /// converge to a sheet that is not older than before.
    fn check_convergence(&self, names: &[InstanceId], path: &str) {
        let mut fleet = self.fleet.clone();
        let highest = fleet.stamps().last().copied().flatten();
        fleet.partitions.clear();
        fleet.fetches_to_fail = 0;
        for _ in 0..4 {
            for from in names {
                for to in names {
                    fleet.exchange(from, to, false);
                }
            }
            fleet.tick(SETTLED_AFTER);
        }
        let stamps = fleet.stamps();
        assert_eq!(
            stamps.len(),
            1,
            "instances do not converge after {path}: {stamps:?}"
        );
        assert!(
            stamps.last().copied().flatten() >= highest,
            "the highest sheet is lost after {path}"
        );
    }

    fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        write!(writer, "{self:?}").unwrap();
        writer.0.finish()
    }
}

/// Hashes the written text, so that states can be compared without storing their text.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn all_events(instance_count: usize) -> Vec<SearchEvent> {
    let mut events = vec![SearchEvent::Wait, SearchEvent::LoseFetch];
    for index in 0..instance_count {
        let next = (index + 1) % instance_count;
        events.extend([
            SearchEvent::Publish { reader: index },
            SearchEvent::RevertPlatform { reader: index },
            SearchEvent::Read { reader: index },
            SearchEvent::Restart { instance: index },
            SearchEvent::PauseAndResume { instance: index },
            SearchEvent::Exchange {
                from: index,
                to: next,
                lose_answer: true,
            },
        ]);
        if index < next || instance_count > 2 {
            events.push(SearchEvent::Exchange {
                from: index,
                to: next,
                lose_answer: false,
            });
            events.push(SearchEvent::TogglePartition {
                from: index,
                to: next,
            });
        }
    }
    events
}

/// Returns the number of levels to search beyond the depth of the test, from `ANVILHUB_SEARCH_EXTRA`. Each further
/// level has six to eleven times as many states.
fn extra_depth() -> usize {
    let extra = std::env::var("ANVILHUB_SEARCH_EXTRA").ok();
    extra.and_then(|extra| extra.parse().ok()).unwrap_or(0)
}

fn search(names: &[&str], start: SearchState, depth: usize) {
    let depth = depth + extra_depth();
    let ids: Vec<InstanceId> = names.iter().map(|name| id(name)).collect();
    let mut seen = HashSet::new();
    let mut frontier = vec![(start, String::new())];
    for _ in 0..depth {
        let mut reached = Vec::new();
        for (state, path) in &frontier {
            for event in all_events(names.len()) {
                let path = format!("{path} {event:?}");
                let Some(next) = state.apply(event, &ids) else {
                    continue;
                };
                if seen.insert(next.fingerprint()) {
                    next.check_convergence(&ids, &path);
                    reached.push((next, path));
                }
            }
        }
        frontier = reached;
    }
    println!(
        "{} states of {} instances to depth {depth}",
        seen.len(),
        names.len()
    );
}

#[test]
fn two_instances_converge() {
    let names = ["a", "b"];
    search(&names, SearchState::new(&names, SampleRule::default()), 4);
}

#[test]
fn three_instances_converge() {
    let names = ["a", "b", "c"];
    search(&names, SearchState::new(&names, SampleRule::default()), 3);
}

#[test]
fn sampled_start_converges() {
    // The rule of a large fleet, at a size that can be searched: one peer is queried at a time.
    let sample = SampleRule {
        max_small_fleet_peers: 1,
        batch_size: 1,
        min_ready_answers: 1,
        ..SampleRule::default()
    };
    let names = ["a", "b", "c"];
    search(&names, SearchState::new(&names, sample), 3);
    search(
        &names,
        SearchState::with_isolated_instance(&names, sample),
        3,
    );
}
