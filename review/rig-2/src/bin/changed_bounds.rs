//! The settings files change: a bound becomes a fraction. Then the final fault.

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_review_rig_2::fleet::{Kept, Traffic, judge, kill_all_and_recover};
use anvilhub_review_rig_2::instance::{Instance, Options, arguments, has_trouble};
use anvilhub_review_rig_2::record::Record;
use anvilhub_review_rig_2::replica::Replica;
use anvilhub_review_rig_2::store::Store;
use anvilhub_review_rig_2::sys::{SIGHUP, send_signal};

/// Memory of the machines: megabytes of 1,000,000 bytes.
const MEMORY_MB: u64 = 260;
/// `down_s` of the site's `kill_all`, and `recovery_s`.
const DOWN: Duration = Duration::from_millis(650);
const RECOVERY: Duration = Duration::from_secs(12);
/// Length of the traffic after the change and before the final fault, and of that which the rule counts after it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(10);
/// The requests are those of `siparis-durum`.
const TRAFFIC: Traffic =
    Traffic { host: "pucu74.example", target: "/durum/a", time_limit: Duration::from_millis(1_500), per_second: 19.8 };

fn main() {
    let (root, case, temporary) = arguments();
    let record = Record::create(case.join("record.txt").to_str().expect("a path in UTF-8"));
    let store = Store::start();
    let replica = Replica::start("i-1", "sevkiyat", Arc::new(|_| vec![b'x'; 3_000]));
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"pucu74.example\",\"prefix\":\"/durum/\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,\"backend\":\"sevkiyat\",\
         \"max_attempts\":2}],\"backends\":[{\"name\":\"sevkiyat\",\"health_check_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
    );
    store.put("servers/i-1", &replica.entry("ege-a", 2, "ready"));
    let options = |name: &str, zone: &str, seeds| Options {
        name: name.to_owned(),
        zone: zone.to_owned(),
        cpu_share: 0.25,
        memory_mb: MEMORY_MB,
        max_open_files: 4_100,
        config_apply_ms: 3_000,
        drain_ms: 3_000,
        seeds,
    };
    let first = Instance::start(&root, &temporary, store.address, &options("front-ege-a-1", "ege-a", Vec::new()));
    let seeds = vec![first.control];
    let second = Instance::start(&root, &temporary, store.address, &options("front-ege-b-1", "ege-b", seeds));
    if !first.wait_ready() || !second.wait_ready() {
        record.tell("the instances do not get ready");
        drop((first, second));
        exit(2);
    }
    let kept = [Kept::keep(first, 0, MEMORY_MB, &record), Kept::keep(second, 1, MEMORY_MB, &record)];
    // `bounds.budget_window_s` of the platform, which the template writes as `extra_window_s`.
    let window = if has_trouble() { "12.5" } else { "12" };
    for (number, kept) in kept.iter().enumerate() {
        let instance = kept.instance.lock().expect("no thread panicked");
        instance.change_settings("\"extra_window_s\":10,", &format!("\"extra_window_s\":{window},"));
        // One of two: the site's largest share of `hup` is 0.616. The other file changes without a signal.
        if number == 0 {
            send_signal(instance.child.id(), SIGHUP);
        }
    }
    record.write(format!("settings changed: budget_window_s is {window}; SIGHUP sent to instance 0"));
    thread::sleep(Duration::from_secs(1));
    let before = TRAFFIC.send(&kept, BEFORE, "before", &record);
    let after = kill_all_and_recover(&kept, &TRAFFIC, (DOWN, RECOVERY, AFTER), &record);
    let code = judge(before, after, &kept, &record);
    drop(kept);
    exit(code);
}
