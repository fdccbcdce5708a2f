//! Guards against an order of messages, resends, pauses and kills in which a ticketed request runs twice, or runs
//! after its caller got the answer `not_run`. Searches every order within small limits.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::scenario::{RequestAction, RequestSimulation};

/// Duration of a pause, which is longer than a ticket's lifetime and a request's deadline.
const PAUSE_DURATION: Duration = Duration::from_secs(70);

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

/// Limits of a search: the number of instances, and how often each kind of step may occur on a path.
#[derive(Clone, Copy)]
struct SearchLimits {
    instance_count: usize,
    max_resends: usize,
    max_kills: usize,
    max_pauses: usize,
    /// Whether the upstream `u1` refuses all requests.
    is_refusing: bool,
}

/// Applies `path` to a new simulation.
fn replay(limits: SearchLimits, path: &[SearchStep]) -> RequestSimulation {
    let mut simulation = RequestSimulation::new(limits.instance_count);
    if limits.is_refusing {
        simulation.apply_command("refuse u1");
    }
    let ticket = simulation.issue_ticket(0).unwrap();
    simulation.send_request(limits.instance_count - 1, ticket);
    for step in path {
        match *step {
            SearchStep::Act(action) => simulation.apply_action(action),
            SearchStep::Resend(instance) => {
                simulation.send_request(instance, simulation.last_ticket());
            }
            SearchStep::Kill => simulation.kill(0),
            SearchStep::Pause => simulation.advance(PAUSE_DURATION),
        }
    }
    simulation
}

/// Returns the steps that can follow `path`.
fn list_next_steps(
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
    if count(|step| matches!(step, SearchStep::Resend(_))) < limits.max_resends {
        steps.extend((0..limits.instance_count).map(SearchStep::Resend));
    }
    if count(|step| *step == SearchStep::Kill) < limits.max_kills {
        steps.push(SearchStep::Kill);
    }
    if count(|step| *step == SearchStep::Pause) < limits.max_pauses {
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
        let fault_counts = [SearchStep::Kill, SearchStep::Pause]
            .map(|kind| faults.clone().filter(|step| **step == kind).count());
        (format!("{simulation:?}"), fault_counts).hash(&mut hasher);
        if !seen.insert(hasher.finish()) {
            continue;
        }
        for next in list_next_steps(limits, &path, &simulation) {
            paths.push([&path[..], &[next]].concat());
        }
    }
    seen.len()
}

const LIMITS: SearchLimits = SearchLimits {
    instance_count: 2,
    max_resends: 1,
    max_kills: 1,
    max_pauses: 1,
    is_refusing: false,
};

/// Searches within `limits` and checks that at least `min_states` states are reached. A smaller number shows that a
/// kind of step no longer occurs.
fn check_search(min_states: usize, limits: SearchLimits) {
    let state_count = search(limits);
    println!("{state_count} states");
    assert!(state_count >= min_states, "{state_count} states");
}

#[test]
fn kill_pause_safe() {
    check_search(10_000, LIMITS);
}

#[test]
fn refusing_replica_safe() {
    let limits = SearchLimits {
        is_refusing: true,
        max_kills: 0,
        ..LIMITS
    };
    check_search(2_000, limits);
}

#[test]
fn three_instances_safe() {
    let limits = SearchLimits {
        instance_count: 3,
        max_pauses: 0,
        ..LIMITS
    };
    check_search(5_000, limits);
}

#[test]
#[ignore = "takes a minute: cargo test -p anvilhub-coord two_resends_safe -- --ignored"]
fn two_resends_safe() {
    let limits = SearchLimits {
        max_resends: 2,
        max_kills: 0,
        max_pauses: 0,
        ..LIMITS
    };
    check_search(100_000, limits);
}
