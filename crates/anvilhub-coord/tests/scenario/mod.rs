//! Runs the scenarios of `tests/fault_scenarios/`: a fault at every step of a ticketed request or a fan-out.
//!
//! A case holds the commands of the fault. Commands after a line `then` are applied at every later step as
//! well, so that pairs of faults meet in every order. The transcript groups the steps by what was observed.

mod event_order;
mod fan_out_faults;
mod fan_out_judge;
mod fan_out_world;
mod request_faults;
mod request_judge;
mod request_message;
mod request_owner;
mod request_world;

use std::collections::BTreeMap;

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_coord::gather::GatheredAnswer;

pub use event_order::{EventOrder, test_seed};
pub use fan_out_judge::{breach_of_coverage, breach_of_own, breach_of_snapshot};
pub use fan_out_world::FanOutWorld;
pub use request_world::{Action, RequestWorld};

/// Steps of an undisturbed request through an instance that forwards it to the ticket's owner.
const REQUEST_STEPS: [&str; 7] = [
    "before-forward",
    "after-forward",
    "before-send",
    "after-send",
    "after-effect",
    "before-relay",
    "before-answer",
];

/// Steps of an undisturbed fan-out to three shards.
const FAN_OUT_STEPS: [&str; 8] = [
    "choose", "search-1", "search-2", "search-3", "answer-1", "answer-2", "answer-3", "finish",
];

/// Random orders of events in which a cell repeats each scenario.
const RANDOM_ORDERS: u64 = 4;

/// What a guarantee demands of every observed history. `None` judges nothing.
#[derive(Clone, Copy, Default)]
pub struct HistoryJudge {
    pub request: Option<fn(&RequestWorld) -> Option<String>>,
    pub fan_out: Option<fn(&GatheredAnswer) -> Option<String>>,
    /// Steps of a request at which its owner is stopped by plan, one in each run. None stops it when empty.
    pub stops: &'static [usize],
}

/// One case of a scenario file.
pub struct ScenarioCase<'a> {
    pub directive: &'a str,
    pub input: &'a str,
}

impl<'a> ScenarioCase<'a> {
    /// The cases of a file's `text`, without their recorded transcripts.
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

    /// Runs the case with its faults at each step and returns the transcript.
    ///
    /// # Panics
    ///
    /// Panics at the first history that breaches `judge`.
    pub fn run(&self, judge: HistoryJudge, stop: Option<usize>, mut order: EventOrder) -> String {
        let lines: Vec<_> = self.input.lines().collect();
        let (first, second) = match lines.iter().position(|line| *line == "then") {
            Some(split) => (&lines[..split], Some(&lines[split + 1..])),
            None => (&lines[..], None),
        };
        let run = match self.directive {
            "request-at-each-step" => run_request,
            "fan-out-at-each-step" => run_fan_out,
            directive => panic!("unknown directive `{directive}`"),
        };
        let mut observed: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (at, label) in schedule(self.steps(), second.is_some()) {
            let commands = |step: usize| {
                let first = first.iter().filter(|_| step == at.0);
                let second = second.unwrap_or_default().iter();
                let stop = stop.filter(|stop| *stop == step).map(|_| "stop e1");
                let lines = first.chain(second.filter(|_| step == at.1)).copied();
                stop.into_iter().chain(lines).collect::<Vec<_>>()
            };
            let (summary, breach) = run(&commands, judge, &mut order);
            assert_eq!(breach, None, "{} at {label}: {summary}", self.input);
            observed.entry(summary).or_default().push(label);
        }
        let places = |labels: Vec<String>| match second {
            Some(_) => format!("{} orders", labels.len()),
            None => labels.join(" "),
        };
        let lines = observed.into_iter();
        lines
            .map(|(summary, labels)| format!("{summary}: {}\n", places(labels)))
            .collect()
    }

    fn steps(&self) -> &'static [&'static str] {
        match self.directive {
            "request-at-each-step" => &REQUEST_STEPS,
            _ => &FAN_OUT_STEPS,
        }
    }

    fn is_judged(&self, judge: HistoryJudge) -> bool {
        match self.directive {
            "request-at-each-step" => judge.request.is_some(),
            _ => judge.fan_out.is_some(),
        }
    }
}

/// Runs the scenarios of the fault `column`, in the order of events and in random ones, and judges every
/// history.
pub fn judge_column(column: &str, judge: HistoryJudge) {
    let path = format!(
        "{}/tests/fault_scenarios/{column}.txt",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let seed = test_seed();
    println!("ANVILHUB_SEED={seed}");
    let mut judged = 0;
    for case in ScenarioCase::parse(&text).filter(|case| case.is_judged(judge)) {
        judged += 1;
        let stops = judge.stops.iter().copied().map(Some);
        let stops: Vec<_> = if judge.stops.is_empty() {
            vec![None]
        } else {
            stops.collect()
        };
        for stop in stops {
            case.run(judge, stop, EventOrder::first());
            for offset in 0..RANDOM_ORDERS {
                case.run(judge, stop, EventOrder::random(seed.wrapping_add(offset)));
            }
        }
    }
    assert!(judged > 0, "no scenario of {path} shows the guarantee");
}

/// The steps of the first and the second fault, with a label.
fn schedule(steps: &[&str], is_pair: bool) -> Vec<((usize, usize), String)> {
    let mut schedule = Vec::new();
    for (first, name) in steps.iter().enumerate() {
        if !is_pair {
            schedule.push(((first, usize::MAX), (*name).to_owned()));
            continue;
        }
        for (second, other) in steps.iter().enumerate().skip(first) {
            schedule.push(((first, second), format!("{name}+{other}")));
        }
    }
    schedule
}

/// Runs a request with the commands of each step; resends while faults last, after they end, and with a new
/// ticket after `not_run`.
fn run_request<'a>(
    commands: &dyn Fn(usize) -> Vec<&'a str>,
    judge: HistoryJudge,
    order: &mut EventOrder,
) -> (String, Option<String>) {
    let mut world = RequestWorld::new(3);
    let ticket = world.issue(0).unwrap();
    world.send(1, ticket);
    for step in 0..REQUEST_STEPS.len() {
        commands(step).iter().for_each(|line| world.command(line));
        if let Some(action) = world.progress(order) {
            world.apply(action);
        }
    }
    world.settle(order);
    world.send(2, world.last_ticket());
    world.settle(order);
    world.heal();
    world.settle(order);
    world.send(1, world.last_ticket());
    world.settle(order);
    let last = world
        .attempts
        .last()
        .and_then(|attempt| attempt.answer.as_ref());
    if last.is_some_and(|answer| answer.outcome == QueryOutcome::NotRun) {
        let ticket = world.issue(2).unwrap();
        world.send(1, ticket);
        world.settle(order);
    }
    let breach = judge.request.and_then(|judge| judge(&world));
    (world.summary(), breach)
}

fn run_fan_out<'a>(
    commands: &dyn Fn(usize) -> Vec<&'a str>,
    judge: HistoryJudge,
    order: &mut EventOrder,
) -> (String, Option<String>) {
    let mut world = FanOutWorld::new();
    for step in 0..FAN_OUT_STEPS.len() {
        commands(step).iter().for_each(|line| world.command(line));
        world.step(order);
    }
    while world.step(order) {}
    let answer = world.finish();
    let breach = judge.fan_out.and_then(|judge| judge(&answer));
    (fan_out_judge::summary(&answer), breach)
}
