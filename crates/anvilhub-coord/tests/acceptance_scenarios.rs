//! Guards against wrong reactions of a fleet to faults of the configuration, by comparing the log lines and the state
//! after each command with those in the scripts in `acceptance/`.
//!
//! `REWRITE=1 cargo test -p anvilhub-coord acceptance` writes the observed output into the scripts.

use std::str::FromStr;
use std::time::Duration;

use datadriven::{TestCase, walk};

use crate::fleet_simulation::{FleetSimulation, id, sheet};

#[test]
fn script_output_matches() {
    walk(
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/acceptance"),
        |file| {
            let mut fleet = FleetSimulation::default();
            // The instance whose log lines are printed; all instances if `None`.
            let mut watched: Option<String> = None;
            file.run(|case| {
                let log_start = fleet.log.len();
                let watch: Option<String> = case.try_take_arg("watch").unwrap();
                watched = watch.or(watched.take());
                run_command(&mut fleet, case);
                let is_watched = |line: &&String| match &watched {
                    Some(name) => line.contains(&format!(" {name}: ")),
                    None => true,
                };
                let lines = fleet.log[log_start..].iter().filter(is_watched);
                let text: String = lines.map(|line| format!("{line}\n")).collect();
                match case.directive.as_str() {
                    "state" => format_state(&fleet, watched.as_deref()),
                    _ if text.is_empty() => "ok\n".to_owned(),
                    _ => text,
                }
            });
        },
    );
}

/// Runs the command of a script.
fn run_command(fleet: &mut FleetSimulation, case: &mut TestCase) {
    match case.directive.as_str() {
        "fleet" => start_fleet(fleet, case),
        "publish" => publish_sheet(fleet, case),
        "config-down" => fleet.platform = None,
        "run" => fleet.run(Duration::from_millis(take_number(case, "ms"))),
        "read" => fleet.read_platform(&id(&take_name(case))),
        "kill" => fleet.kill(&id(&take_name(case))),
        "start" => fleet.start(&id(&take_name(case))),
        "pause" => fleet.pause(&id(&take_name(case))),
        "resume" => fleet.resume(&id(&take_name(case))),
        "cut-off" => {
            let peers: Vec<String> = case.take_args("from").unwrap();
            let instance = id(&take_name(case));
            peers
                .iter()
                .for_each(|peer| fleet.add_partition(&instance, &id(peer)));
        }
        "cut" => {
            let ends: Vec<String> = case.take_args("between").unwrap();
            fleet.add_partition(&id(&ends[0]), &id(&ends[1]));
        }
        "lose-fetches" => fleet.fetches_to_fail = take_number(case, "count"),
        "heal" => fleet.partitions.clear(),
        "state" => {}
        other => panic!("unknown directive {other}"),
    }
    case.expect_empty().unwrap();
}

fn start_fleet(fleet: &mut FleetSimulation, case: &mut TestCase) {
    let count: Option<usize> = case.try_take_arg("count").unwrap();
    let names: Vec<String> = match count {
        Some(count) => (0..count).map(|index| format!("i{index:02}")).collect(),
        None => case.take_args("names").unwrap(),
    };
    let isolated: Option<u64> = case.try_take_arg("isolated-start-ms").unwrap();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    *fleet = FleetSimulation::new(&[]);
    fleet.settings.isolated_start_after = isolated.map(Duration::from_millis);
    fleet.listed = names.iter().map(|name| id(name)).collect();
    for name in names {
        fleet.start(&id(name));
    }
}

fn publish_sheet(fleet: &mut FleetSimulation, case: &mut TestCase) {
    let revision = take_number(case, "revision");
    let version = take_number(case, "version");
    let content = case.try_take_arg("content").unwrap().unwrap_or(0);
    let services: Option<Vec<String>> = case.try_take_args("services").unwrap();
    let services = services.unwrap_or_else(|| vec!["stock".to_owned()]);
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let mut bytes = sheet(version, content, &services);
    if case.take_flag("truncated").unwrap() {
        bytes.truncate(bytes.len() / 2);
    }
    fleet.platform = Some((revision, bytes));
}

/// Lists the version, the stage and the alarms of the watched instance, or of all.
fn format_state(fleet: &FleetSimulation, watched: Option<&str>) -> String {
    let mut text = String::new();
    for (instance, process) in &fleet.processes {
        if watched.is_some_and(|name| name != instance.as_str()) {
            continue;
        }
        let acceptor = &process.acceptor;
        let sheet = acceptor.in_force().map(|sheet| sheet.stamp());
        let sheet = match sheet {
            Some(stamp) => format!("version {} of revision {}", stamp.version, stamp.revision),
            None => "no sheet".to_owned(),
        };
        text.push_str(&format!("{instance}: {sheet}, {}\n", acceptor.stage()));
        for alarm in acceptor.alarms() {
            text.push_str(&format!("  alarm: {alarm}\n"));
        }
    }
    text
}

fn take_name(case: &mut TestCase) -> String {
    case.take_arg("name").unwrap()
}

fn take_number<T: FromStr>(case: &mut TestCase, arg: &str) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.take_arg(arg).unwrap()
}
