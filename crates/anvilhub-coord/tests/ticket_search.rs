//! Guards against an order of messages, resends, pauses and kills in which a ticketed request runs twice, or runs
//! after its caller got the answer `not_run`. Searches every order within small limits.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::scenario::{RequestAction, RequestSimulation};

/// Longer than a ticket's lifetime and than a request's deadline.
const PAUSE: Duration = Duration::from_secs(70);

/// One step of a searched path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchStep {
    /// A message arrives or a wait ends. A message that never arrives stands for a lost one.
    Act(RequestAction),
    /// The caller sends its request again, to the instance with this index.
    Resend(usize),
    /// The owner is killed and restarted.
    Kill,
    /// Every instance is paused past the ticket's expiry.
    Pause,
}

/// Limits of a search: the number of instances and how often each kind of step may occur.
#[derive(Clone, Copy)]
struct SearchLimits {
    instances: usize,
    resends: usize,
    kills: usize,
    pauses: usize,
    /// Whether the upstream `u1` refuses all requests.
    is_refusing: bool,
}

/// Applies `path` to a new simulation.
fn replay(limits: SearchLimits, path: &[SearchStep]) -> RequestSimulation {
    let mut simulation = RequestSimulation::new(limits.instances);
    if limits.is_refusing {
        simulation.apply_command("refuse u1");
    }
    let ticket = simulation.issue_ticket(0).unwrap();
    simulation.send_request(limits.instances - 1, ticket);
    for step in path {
        match *step {
            SearchStep::Act(action) => simulation.apply_action(action),
            SearchStep::Resend(via) => simulation.send_request(via, simulation.last_ticket()),
            SearchStep::Kill => simulation.kill(0),
            SearchStep::Pause => simulation.advance(PAUSE),
        }
    }
    simulation
}

/// Returns the steps that can follow `path`.
fn next_steps(
    limits: SearchLimits,
    path: &[SearchStep],
    simulation: &RequestSimulation,
) -> Vec<SearchStep> {
    let count = |kind: fn(&SearchStep) -> bool| path.iter().filter(|step| kind(step)).count();
    let mut steps: Vec<_> = simulation
        .possible_actions()
        .into_iter()
        .map(SearchStep::Act)
        .collect();
    if count(|step| matches!(step, SearchStep::Resend(_))) < limits.resends {
        steps.extend((0..limits.instances).map(SearchStep::Resend));
    }
    if count(|step| *step == SearchStep::Kill) < limits.kills {
        steps.push(SearchStep::Kill);
    }
    if count(|step| *step == SearchStep::Pause) < limits.pauses {
        steps.push(SearchStep::Pause);
    }
    steps
}

/// Visits every reachable state once and returns the number of states.
fn search(limits: SearchLimits) -> usize {
    let mut seen = HashSet::new();
    let mut paths = vec![Vec::new()];
    while let Some(path) = paths.pop() {
        let simulation = replay(limits, &path);
        let violation = simulation
            .at_most_once_violation()
            .or(simulation.true_not_run_violation());
        assert_eq!(
            violation.or(simulation.own_answer_violation()),
            None,
            "after {path:?}"
        );
        let mut hasher = DefaultHasher::new();
        let faults = path
            .iter()
            .filter(|step| !matches!(step, SearchStep::Act(_)));
        let used = [SearchStep::Kill, SearchStep::Pause]
            .map(|kind| faults.clone().filter(|step| **step == kind).count());
        (format!("{simulation:?}"), used).hash(&mut hasher);
        if !seen.insert(hasher.finish()) {
            continue;
        }
        for next in next_steps(limits, &path, &simulation) {
            paths.push([&path[..], &[next]].concat());
        }
    }
    seen.len()
}

const LIMITS: SearchLimits = SearchLimits {
    instances: 2,
    resends: 1,
    kills: 1,
    pauses: 1,
    is_refusing: false,
};

/// Searches within `limits` and checks that at least `states` states are reached. A smaller number shows that a kind
/// of step no longer occurs.
fn search_at_least(states: usize, limits: SearchLimits) {
    let seen = search(limits);
    println!("{seen} states");
    assert!(seen >= states, "{seen} states");
}

#[test]
fn kill_and_pause() {
    search_at_least(10_000, LIMITS);
}

#[test]
fn refusing_replica() {
    let limits = SearchLimits {
        is_refusing: true,
        kills: 0,
        ..LIMITS
    };
    search_at_least(2_000, limits);
}

#[test]
fn three_instances() {
    let limits = SearchLimits {
        instances: 3,
        pauses: 0,
        ..LIMITS
    };
    search_at_least(5_000, limits);
}

#[test]
#[ignore = "takes a minute: cargo test -p anvilhub-coord two_resends -- --ignored"]
fn two_resends() {
    let limits = SearchLimits {
        resends: 2,
        kills: 0,
        pauses: 0,
        ..LIMITS
    };
    search_at_least(100_000, limits);
}
