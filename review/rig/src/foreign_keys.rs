//! Case: another writer's entries have keys with a `&`, and all processes are killed.

use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client::{self, Request};
use crate::deployment::{HOST, Route, Stage, config, drive};
use crate::instance::Bounds;
use crate::replica::ReplicaPlan;

/// Bounds of the site bordur-arama.
const BOUNDS: Bounds = Bounds {
    drain_ms: 3_000,
    config_apply_ms: 3_000,
};
const RECOVERY: Duration = Duration::from_secs(12);
/// `memory_mb` of the site: a process that exceeds it is killed and started again.
const MEMORY_MB: u64 = 260;
const SHARDS: usize = 20;
const ZONES: [&str; 3] = ["ege-a", "ege-b", "ege-c"];
/// Number of entries of the other writer.
const FOREIGN_ENTRIES: usize = 60;
const WRITTEN_AT: Duration = Duration::from_secs(8);
const KILLED_AT: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(1_300);

pub fn run(record_file: &Path) -> ! {
    let stage = Stage::new();
    let record = stage.record.clone();
    let shards: Vec<&'static str> = (0..SHARDS)
        .map(|index| &*format!("teklif-{index:02}").leak())
        .collect();
    let mut replicas = Vec::new();
    let plan = |service, index: usize, work, connections| ReplicaPlan {
        id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1)),
        service,
        zone: ZONES[index % 2],
        slots: 2,
        queue: 12,
        max_connections: connections,
        work: Duration::from_millis(work),
    };
    for index in 0..2 * SHARDS {
        replicas.push(stage.replica(plan(shards[index / 2], index, 7, 26)));
    }
    for index in 40..45 {
        replicas.push(stage.replica(plan("sevkiyat", index, 60, 110)));
    }
    let names: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    let gather = format!(
        "\"gather\":[{}],\"top_k\":50,\"min_shard_ratio\":0.89",
        names.join(",")
    );
    let routes = [
        Route {
            name: "fiyat",
            kind: "idempotent",
            timeout_ms: 400,
            target_ms: 80,
            attempts: 2,
            to: gather,
        },
        Route {
            name: "durum",
            kind: "idempotent",
            timeout_ms: 1_500,
            target_ms: 250,
            attempts: 2,
            to: "\"backend\":\"sevkiyat\"".to_owned(),
        },
    ];
    let mut services: Vec<(&str, usize)> = shards.iter().map(|name| (*name, 26)).collect();
    services.push(("sevkiyat", 110));
    stage.store.put("op/config", config(7, &routes, &services));

    let mut instances = stage.instances(4, &ZONES, BOUNDS);
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    let ends = Mutex::new(Vec::new());
    let last = KILLED_AT + DOWN + RECOVERY + Duration::from_secs(10);
    thread::scope(|scope| {
        let (ends, record, fronts) = (&ends, &record, &fronts);
        scope.spawn(move || {
            drive(record, record.now(), last, 20.0, |number| {
                let (name, deadline) = match number % 3 {
                    0 => ("durum", 1_500),
                    _ => ("fiyat", 400),
                };
                let deadline = Duration::from_millis(deadline);
                let request = Request {
                    method: "GET",
                    host: HOST,
                    path: format!("/{name}/{number}"),
                    id: format!("q{number:06}"),
                    deadline,
                    leaves_after: deadline,
                    body: Vec::new(),
                };
                let sent_at = record.now();
                let end = client::send(fronts[number % fronts.len()], &request);
                record.note_at(
                    sent_at,
                    format!("request {} sent: {}", request.id, end.describe()),
                );
                ends.lock()
                    .expect("no thread panicked")
                    .push((sent_at, end.status()));
            });
        });

        stage.wait_until(WRITTEN_AT);
        if stage.has_trouble {
            for index in 0..FOREIGN_ENTRIES {
                // Bytes that cannot be read, as PROTOCOL.md allows.
                let value: Vec<u8> = (0..2_000).map(|byte| (byte * 37 + index) as u8).collect();
                stage.store.put(&format!("servers/R&D-{index:02}"), value);
            }
            record.say(format!(
                "another writer has written {FOREIGN_ENTRIES} entries under servers/R&D-.."
            ));
        }
        stage.wait_until(KILLED_AT);
        instances.iter_mut().for_each(|instance| instance.kill());
        record.say("all processes are killed");
        stage.wait_until(KILLED_AT + DOWN);
        for instance in &mut instances {
            instance.start(&stage.root);
        }
        record.say("all processes are started again");
        let mut calls = stage.store.calls();
        let mut peaks = vec![0; instances.len()];
        let mut memory_kills = 0;
        let mut seconds = 0;
        while record.now() < last {
            thread::sleep(Duration::from_millis(100));
            for (instance, peak) in instances.iter_mut().zip(&mut peaks) {
                let memory = instance.memory_mb();
                *peak = memory.max(*peak);
                if memory > MEMORY_MB {
                    record.say(format!(
                        "{} uses {memory} MB, over memory_mb {MEMORY_MB}: killed and started again",
                        instance.name
                    ));
                    memory_kills += 1;
                    instance.kill();
                    thread::sleep(Duration::from_millis(200));
                    instance.start(&stage.root);
                }
            }
            seconds += 1;
            if seconds % 20 == 0 {
                let now = stage.store.calls();
                record.say(format!(
                    "calls to the store in 2 s: {}; memory at most {peaks:?} MB; ready: {}",
                    now - calls,
                    instances
                        .iter()
                        .filter(|instance| instance.is_ready())
                        .count()
                ));
                calls = now;
            }
        }
        record.say(format!(
            "processes over memory_mb since the restart: {memory_kills}"
        ));
    });
    let ends = ends.into_inner().expect("no thread panicked");
    let share = |from: Duration, to: Duration| {
        let sent: Vec<u16> = ends
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .map(|(_, status)| *status)
            .collect();
        let served = sent.iter().filter(|status| **status == 200).count();
        record.say(format!(
            "sent from {:.1} s to {:.1} s: {}, served: {served}",
            from.as_secs_f64(),
            to.as_secs_f64(),
            sent.len()
        ));
        served as f64 / sent.len().max(1) as f64
    };
    let before = share(Duration::from_secs(1), KILLED_AT);
    let after = share(KILLED_AT + DOWN + RECOVERY, last);
    drop(instances);
    if before < 0.25 {
        record.say("the case could not run: too little was served before the kill");
        stage.end(record_file, 2);
    }
    let is_broken = after < 0.25;
    record.say(match is_broken {
        true => "RECOVER is broken",
        false => "RECOVER holds",
    });
    stage.end(record_file, i32::from(is_broken));
}
