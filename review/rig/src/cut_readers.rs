//! Case: the largest machines of each zone are cut off from the store while the configuration changes.

use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client::{self, Request};
use crate::deployment::{HOST, Route, Stage, config, drive};
use crate::instance::{Bounds, Instance};
use crate::replica::ReplicaPlan;
use crate::store::Link;

/// Bounds of the site bordur-arama-grown.
const BOUNDS: Bounds = Bounds {
    drain_ms: 5_000,
    config_apply_ms: 5_000,
};
const ZONES: [&str; 3] = ["ege-a", "ege-b", "ege-c"];
/// Machines in all, of which the first `LARGE` are the large ones, two in each zone.
const MACHINES: usize = 18;
const LARGE: usize = 6;
const CUT_AT: Duration = Duration::from_secs(9);
const CUT_FOR: Duration = Duration::from_secs(12);
const CHANGED_AT: Duration = Duration::from_millis(14_300);
const DEADLINE: Duration = Duration::from_millis(1_000);

/// A request that tells which configuration is in force on a machine.
struct Look {
    sent_at: Duration,
    machine: usize,
    route: &'static str,
    status: u16,
}

pub fn run(record_file: &Path) -> ! {
    let stage = Stage::new();
    let record = stage.record.clone();
    let _replicas: Vec<_> = (0..5)
        .map(|index| {
            stage.replica(ReplicaPlan {
                id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1)),
                service: "desk",
                zone: ZONES[index % ZONES.len()],
                slots: 2,
                queue: 8,
                max_connections: 110,
                work: Duration::from_millis(5),
            })
        })
        .collect();
    let route = |name| Route {
        name,
        kind: "idempotent",
        timeout_ms: 1_000,
        target_ms: 250,
        attempts: 2,
        to: "\"backend\":\"desk\"".to_owned(),
    };
    let services = [("desk", 110)];
    stage.store.put(
        "op/config",
        config(7, &[route("kept"), route("dropped")], &services),
    );
    let links: Vec<Link> = (0..MACHINES).map(|_| Link::default()).collect();
    let mut instances = Instance::plan(
        &stage.folder,
        MACHINES,
        &ZONES,
        BOUNDS,
        |index| if index < LARGE { 0.5 } else { 0.12 },
        |index| stage.store.listen_behind(&links[index]),
    );
    stage.start(&mut instances);
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    let looks = Mutex::new(Vec::new());
    let healed_at = CUT_AT + CUT_FOR;
    let mut acknowledged_at = Duration::ZERO;
    thread::scope(|scope| {
        let (record, fronts, looks) = (&record, &fronts, &looks);
        scope.spawn(move || {
            let last = healed_at + Duration::from_secs(6);
            drive(record, record.now(), last, 90.0, |number| {
                let machine = LARGE + number % (MACHINES - LARGE);
                let route = ["kept", "dropped", "added"][number / (MACHINES - LARGE) % 3];
                let request = Request {
                    method: "GET",
                    host: HOST,
                    path: format!("/{route}/{number}"),
                    id: format!("q{number:06}"),
                    deadline: DEADLINE,
                    leaves_after: DEADLINE,
                    body: Vec::new(),
                };
                let sent_at = record.now();
                let end = client::send(fronts[machine], &request);
                record.note_at(
                    sent_at,
                    format!(
                        "request {} sent to machine {machine}, route {route}: {}",
                        request.id,
                        end.describe()
                    ),
                );
                looks.lock().expect("no thread panicked").push(Look {
                    sent_at,
                    machine,
                    route,
                    status: end.status(),
                });
            });
        });
        stage.wait_until(CUT_AT);
        if stage.has_trouble {
            links[..LARGE].iter().for_each(|link| link.set_cut(true));
            record.say(format!(
                "machines 0 to {} of {MACHINES} are cut off from the store; the others are not touched",
                LARGE - 1
            ));
        }
        stage.wait_until(CHANGED_AT);
        let routes = [route("kept"), route("added")];
        stage.store.put("op/config", config(12, &routes, &services));
        acknowledged_at = record.now();
        record.say("the store acknowledges version 12: one route is dropped, another added");
        stage.wait_until(healed_at);
        links.iter().for_each(|link| link.set_cut(false));
        record.say("the cut has ended");
    });
    drop(instances);
    let looks = looks.into_inner().expect("no thread panicked");
    let due = acknowledged_at + Duration::from_millis(BOUNDS.config_apply_ms);
    let is_old = |look: &&Look| {
        look.sent_at > due && matches!((look.route, look.status), ("dropped", 200) | ("added", 404))
    };
    let old: Vec<&Look> = looks.iter().filter(is_old).collect();
    let run = old.iter().filter(|look| look.route == "dropped").count();
    let mut machines: Vec<usize> = old.iter().map(|look| look.machine).collect();
    machines.sort_unstable();
    machines.dedup();
    let latest = old.iter().map(|look| look.sent_at).max();
    record.say(format!(
        "requests that machines which nothing had happened to handled as only version 7 allows, sent later than \
         config_apply_ms after the acknowledgement: {run} run on the dropped route, {} refused with 404 on the \
         added one; on {} of {} machines; the last {:.1} s after the acknowledgement",
        old.len() - run,
        machines.len(),
        MACHINES - LARGE,
        latest.map_or(0.0, |latest| (latest - acknowledged_at).as_secs_f64())
    ));
    record.say(match old.is_empty() {
        true => "CONFIG holds",
        false => "CONFIG is broken",
    });
    stage.end(record_file, i32::from(!old.is_empty()));
}
