//! Runs the scenarios in `tests/fault_scenarios/`, which inject a fault at every step of a ticketed request or of a
//! fan-out.
//!
//! A case lists the commands that inject the fault. Commands after a line `then` inject a second fault, at the same
//! step and at every later one, so that every combination of steps in which the second fault does not precede the first
//! is covered. The transcript groups the steps by the observed outcome. For two faults it gives the number of
//! combinations of steps, as `orders`.

mod event_order;
mod fanout_checker;
mod fanout_faults;
mod fanout_simulation;
mod request_checker;
mod request_faults;
mod request_message;
mod request_owner;
mod request_simulation;

use std::collections::BTreeMap;

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_coord::gather::GatheredAnswer;

pub use event_order::{EventOrder, test_seed};
pub use fanout_checker::{one_snapshot_violation, own_answer_violation, true_coverage_violation};
pub use fanout_simulation::FanoutSimulation;
pub use request_simulation::{RequestAction, RequestSimulation};

/// Steps of a request without faults, sent to an instance that forwards it to the owner of its ticket.
const REQUEST_STEPS: [&str; 7] = [
    "before-forward",
    "after-forward",
    "before-send",
    "after-send",
    "after-effect",
    "before-relay",
    "before-answer",
];

/// Steps of a fan-out to three shards without faults.
const FANOUT_STEPS: [&str; 8] = [
    "choose", "search-1", "search-2", "search-3", "answer-1", "answer-2", "answer-3", "finish",
];

/// Number of random orders of events in which each scenario is repeated.
const RANDOM_ORDER_COUNT: u64 = 4;

/// The checks of one guarantee. Each returns a description of the violation, if there is one. If the field of a
/// directive is `None`, its scenarios are skipped.
#[derive(Clone, Copy, Default)]
pub struct HistoryChecker {
    pub request: Option<fn(&RequestSimulation) -> Option<String>>,
    pub fanout: Option<fn(&GatheredAnswer) -> Option<String>>,
    /// Steps of a request at which a planned stop of its owner starts; each run uses one of them. The owner is not
    /// stopped if this is empty.
    pub stop_steps: &'static [usize],
}

/// One case of a scenario file.
pub struct ScenarioCase<'a> {
    pub directive: &'a str,
    pub input: &'a str,
}

impl<'a> ScenarioCase<'a> {
    /// Parses the cases of a scenario file, without their recorded transcripts. Each case starts with a comment of one
    /// line.
    fn parse(text: &'a str) -> impl Iterator<Item = Self> {
        let cases = text
            .split("\n\n")
            .filter_map(|block| block.split_once("\n----"));
        cases.map(|(case, _)| {
            let start = case.find("\n").expect("a case starts with a comment");
            let (directive, input) = case[start + 1..].split_once('\n').unwrap();
            Self { directive, input }
        })
    }

    /// Runs the case with its faults injected at each step and returns the transcript. A planned stop of the ticket's
    /// owner starts at `stop_step`.
    ///
    /// # Panics
    ///
    /// Panics if `checker` finds a violation.
    pub fn run(
        &self,
        checker: HistoryChecker,
        stop_step: Option<usize>,
        mut order: EventOrder,
    ) -> String {
        let lines: Vec<_> = self.input.lines().collect();
        let (first_fault, second_fault) = match lines.iter().position(|line| *line == "then") {
            Some(split) => (&lines[..split], Some(&lines[split + 1..])),
            None => (&lines[..], None),
        };
        let run = match self.directive {
            "request-at-each-step" => run_request,
            "fan-out-at-each-step" => run_fanout,
            directive => panic!("unknown directive `{directive}`"),
        };
        let mut observed: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for ((first_step, second_step), label) in
            injection_steps(self.steps(), second_fault.is_some())
        {
            let commands_at = |step: usize| {
                let first = first_fault.iter().filter(|_| step == first_step);
                let second = second_fault.unwrap_or_default().iter();
                let stop = stop_step.filter(|stop| *stop == step).map(|_| "stop e1");
                let lines = first.chain(second.filter(|_| step == second_step)).copied();
                stop.into_iter().chain(lines).collect::<Vec<_>>()
            };
            let (summary, violation) = run(&commands_at, checker, &mut order);
            assert_eq!(violation, None, "{} at {label}: {summary}", self.input);
            observed.entry(summary).or_default().push(label);
        }
        let describe_steps = |labels: Vec<String>| match second_fault {
            Some(_) => format!("{} orders", labels.len()),
            None => labels.join(" "),
        };
        let lines = observed.into_iter();
        lines
            .map(|(summary, labels)| format!("{summary}: {}\n", describe_steps(labels)))
            .collect()
    }

    fn steps(&self) -> &'static [&'static str] {
        match self.directive {
            "request-at-each-step" => &REQUEST_STEPS,
            _ => &FANOUT_STEPS,
        }
    }

    fn is_checked_by(&self, checker: HistoryChecker) -> bool {
        match self.directive {
            "request-at-each-step" => checker.request.is_some(),
            _ => checker.fanout.is_some(),
        }
    }
}

/// Runs the scenarios of the fault `fault` with events in their order of creation and in random orders, and checks
/// every run with `checker`.
pub fn check_fault(fault: &str, checker: HistoryChecker) {
    let path = format!(
        "{}/tests/fault_scenarios/{fault}.txt",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let seed = test_seed();
    println!("ANVILHUB_SEED={seed}");
    let mut case_count = 0;
    for case in ScenarioCase::parse(&text).filter(|case| case.is_checked_by(checker)) {
        case_count += 1;
        let steps = checker.stop_steps.iter().copied().map(Some);
        let stop_steps: Vec<_> = if checker.stop_steps.is_empty() {
            vec![None]
        } else {
            steps.collect()
        };
        for stop_step in stop_steps {
            case.run(checker, stop_step, EventOrder::in_order());
            for offset in 0..RANDOM_ORDER_COUNT {
                case.run(
                    checker,
                    stop_step,
                    EventOrder::random(seed.wrapping_add(offset)),
                );
            }
        }
    }
    assert!(
        case_count > 0,
        "no scenario in {path} applies to the guarantee"
    );
}

/// Returns the indexes of the steps at which the first and the second fault are injected, each pair with a label. The
/// second index is `usize::MAX` if there is only one fault.
fn injection_steps(steps: &[&str], is_pair: bool) -> Vec<((usize, usize), String)> {
    let mut injections = Vec::new();
    for (first, name) in steps.iter().enumerate() {
        if !is_pair {
            injections.push(((first, usize::MAX), (*name).to_owned()));
            continue;
        }
        for (second, other) in steps.iter().enumerate().skip(first) {
            injections.push(((first, second), format!("{name}+{other}")));
        }
    }
    injections
}

/// Runs a request with the commands of each step. The caller resends it during the faults, after their end, and with
/// a new ticket after `not_run`.
fn run_request<'a>(
    commands_at: &dyn Fn(usize) -> Vec<&'a str>,
    checker: HistoryChecker,
    order: &mut EventOrder,
) -> (String, Option<String>) {
    let mut simulation = RequestSimulation::new(3);
    let ticket = simulation.issue_ticket(0).unwrap();
    simulation.send_request(1, ticket);
    for step in 0..REQUEST_STEPS.len() {
        commands_at(step)
            .iter()
            .for_each(|line| simulation.apply_command(line));
        if let Some(action) = simulation.next_action(order) {
            simulation.apply_action(action);
        }
    }
    simulation.run_until_idle(order);
    simulation.send_request(2, simulation.last_ticket());
    simulation.run_until_idle(order);
    simulation.end_faults();
    simulation.run_until_idle(order);
    simulation.send_request(1, simulation.last_ticket());
    simulation.run_until_idle(order);
    let last = simulation
        .requests
        .last()
        .and_then(|request| request.answer.as_ref());
    if last.is_some_and(|answer| answer.outcome == QueryOutcome::NotRun) {
        let ticket = simulation.issue_ticket(2).unwrap();
        simulation.send_request(1, ticket);
        simulation.run_until_idle(order);
    }
    let violation = checker.request.and_then(|check| check(&simulation));
    (simulation.summary(), violation)
}

/// Runs a fan-out with the commands of each step, then without further faults to its end.
fn run_fanout<'a>(
    commands_at: &dyn Fn(usize) -> Vec<&'a str>,
    checker: HistoryChecker,
    order: &mut EventOrder,
) -> (String, Option<String>) {
    let mut simulation = FanoutSimulation::new();
    for step in 0..FANOUT_STEPS.len() {
        commands_at(step)
            .iter()
            .for_each(|line| simulation.apply_command(line));
        simulation.step(order);
    }
    while simulation.step(order) {}
    let answer = simulation.finish();
    let violation = checker.fanout.and_then(|check| check(&answer));
    (fanout_checker::summary(&answer), violation)
}
