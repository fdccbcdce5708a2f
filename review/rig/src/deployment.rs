//! A small deployment: a store with a configuration and replicas, and instances that serve it.

use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs, process, thread};

use crate::instance::{Bounds, Instance};
use crate::record::Record;
use crate::replica::{Replica, ReplicaPlan};
use crate::store::Store;

pub const HOST: &str = "shop.example";

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    /// `"backend":..` or `"gather":..` with its figures.
    pub to: String,
}

/// Returns the value of `op/config`. `services` holds the names of services and their `max_connections`.
pub fn config(version: u64, routes: &[Route], services: &[(&str, usize)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r-{}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{}/\",\"route_type\":\"{}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":1,\"max_attempts\":{},{}}}",
                route.name, route.name, route.kind, route.timeout_ms, route.target_ms, route.attempts, route.to
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, connections)| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":{connections},\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// What a case works with.
pub struct Stage {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub store: Store,
    /// Whether the disruption happens; not with `TROUBLE=0`.
    pub has_trouble: bool,
}

impl Stage {
    /// Prepares a run in a new temporary folder.
    pub fn new() -> Self {
        let root = env::current_dir().expect("the working folder exists");
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        Self {
            root,
            folder,
            record: Record::start(),
            store: Store::default(),
            has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }

    /// Starts a replica and writes its entry.
    pub fn replica(&self, plan: ReplicaPlan) -> Replica {
        let replica = Replica::start(plan, &self.record);
        let key = format!("servers/{}", replica.id());
        self.store.put(&key, replica.entry("ready"));
        replica
    }

    /// Starts `count` instances of equal size and waits until all are ready.
    pub fn instances(&self, count: usize, zones: &[&str], bounds: Bounds) -> Vec<Instance> {
        let mut instances = Instance::plan(
            &self.folder,
            count,
            zones,
            bounds,
            |_| 0.25,
            |_| self.store.listen(),
        );
        self.start(&mut instances);
        instances
    }

    /// Starts instances and waits until all are ready.
    pub fn start(&self, instances: &mut [Instance]) {
        for instance in &mut *instances {
            instance.start(&self.root);
        }
        for instance in &*instances {
            assert!(
                instance.wait_ready(Duration::from_secs(10)),
                "{} did not become ready",
                instance.name
            );
        }
        self.record
            .say(format!("{} instances are ready", instances.len()));
    }

    /// Waits until `time` of the run.
    pub fn wait_until(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.record.now()));
    }

    /// Writes the record, removes the temporary folder and ends the run. The caller has ended the processes.
    pub fn end(&self, record: &Path, code: i32) -> ! {
        self.record.write(record);
        let _ = fs::remove_dir_all(&self.folder);
        process::exit(code);
    }
}

/// Calls `send` with a running number, `per_s` times a second from `start` to `end` of the run, each call on a thread of its
/// own, and returns after the last call has ended.
pub fn drive(
    record: &Record,
    start: Duration,
    end: Duration,
    per_s: f64,
    send: impl Fn(usize) + Sync,
) {
    let gap = Duration::from_secs_f64(1.0 / per_s);
    thread::scope(|scope| {
        let mut due = start;
        let mut number = 0;
        while due < end {
            let until = due.saturating_sub(record.now());
            thread::sleep(until);
            let send = &send;
            scope.spawn(move || send(number));
            number += 1;
            due += gap;
        }
    });
}
