//! Entries of another writer among those of the replicas, with bytes that cannot be read and as long as the store allows;
//! then the final fault.

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_review_rig_2::fleet::{Kept, Traffic, judge, kill_all_and_recover};
use anvilhub_review_rig_2::instance::{Instance, Options, arguments, has_trouble};
use anvilhub_review_rig_2::record::Record;
use anvilhub_review_rig_2::replica::Replica;
use anvilhub_review_rig_2::store::Store;

/// Entries of the other writer, and the pause between two of them.
const FOREIGN_ENTRIES: usize = 48;
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// `value_bytes` of the store.
const VALUE_BYTES: usize = 1_048_576;
/// Memory of the small machines: megabytes of 1,000,000 bytes.
const MEMORY_MB: u64 = 160;
/// `down_s` of the site's `kill_all`, and `recovery_s`.
const DOWN: Duration = Duration::from_millis(1_300);
const RECOVERY: Duration = Duration::from_secs(15);
/// Length of the traffic before the final fault, and of that which the rule counts after it.
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(12);
/// The requests are those of `archive-lookup`.
const TRAFFIC: Traffic =
    Traffic { host: "pucu74.example", target: "/arquivo/a", time_limit: Duration::from_secs(10), per_second: 8.41 };

fn main() {
    let (root, case, temporary) = arguments();
    let record = Record::create(case.join("record.txt").to_str().expect("a path in UTF-8"));
    let store = Store::start();
    let replica = Replica::start("i-1", "arquivo", Arc::new(|_| vec![b'x'; 6_000]));
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"pucu74.example\",\"prefix\":\"/arquivo/\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":10000,\"target_latency_ms\":1200,\"priority\":2,\"backend\":\"arquivo\",\
         \"max_attempts\":2}],\"backends\":[{\"name\":\"arquivo\",\"health_check_path\":\"/health\",\"max_connections\":580,\
         \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
    );
    store.put("servers/i-1", &replica.entry("lisboa-a", 2, "ready"));
    let options = |name: &str, zone: &str, seeds| Options {
        name: name.to_owned(),
        zone: zone.to_owned(),
        cpu_share: 0.12,
        memory_mb: MEMORY_MB,
        max_open_files: 4_100,
        config_apply_ms: 5_000,
        drain_ms: 5_000,
        seeds,
    };
    let first = Instance::start(&root, &temporary, store.address, &options("front-lisboa-a-1", "lisboa-a", Vec::new()));
    let seeds = vec![first.control];
    let second = Instance::start(&root, &temporary, store.address, &options("front-lisboa-b-1", "lisboa-b", seeds));
    if !first.wait_ready() || !second.wait_ready() {
        record.tell("the instances do not get ready");
        drop((first, second));
        exit(2);
    }
    let kept = [Kept::keep(first, 0, MEMORY_MB, &record), Kept::keep(second, 1, MEMORY_MB, &record)];
    if has_trouble() {
        for number in 0..FOREIGN_ENTRIES {
            // No UTF-8, no JSON.
            store.put_bytes(&format!("servers/other-{number:03}"), &vec![0xfe; VALUE_BYTES]);
            thread::sleep(WRITE_PAUSE);
        }
        record.write(format!("another writer has written {FOREIGN_ENTRIES} entries of {VALUE_BYTES} bytes"));
    }
    thread::sleep(Duration::from_secs(1));
    let before = TRAFFIC.send(&kept, BEFORE, "before", &record);
    let after = kill_all_and_recover(&kept, &TRAFFIC, (DOWN, RECOVERY, AFTER), &record);
    let code = judge(before, after, &kept, &record);
    drop(kept);
    exit(code);
}
