//! The settings files change: a bound becomes a fraction. The machines are then stopped as planned and started again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anvilhub_review_rig_2::http::read_message;
use anvilhub_review_rig_2::instance::{Instance, Options, arguments, has_trouble};
use anvilhub_review_rig_2::record::Record;
use anvilhub_review_rig_2::replica::Replica;
use anvilhub_review_rig_2::store::Store;
use anvilhub_review_rig_2::sys::{SIGHUP, SIGTERM, send_signal};

/// `grace_s`, after which the platform kills a process that it stops.
const GRACE: Duration = Duration::from_secs(6);
/// The platform's pause before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Length of the day after the last planned stop.
const REST_OF_DAY: Duration = Duration::from_secs(12);
/// Number of ends of each process from which the rule counts them.
const COUNTED_ENDS: usize = 3;

fn main() {
    let (root, case, temporary) = arguments();
    let record = Record::create(case.join("record.txt").to_str().expect("a path in UTF-8"));
    let store = Store::start();
    let replica = Replica::start("i-1", "sevkiyat", Arc::new(|_| vec![b'x'; 3_000]));
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"pucu74.example\",\"prefix\":\"/bench/\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,\"backend\":\"sevkiyat\",\
         \"max_attempts\":2}],\"backends\":[{\"name\":\"sevkiyat\",\"health_check_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
    );
    store.put("servers/i-1", &replica.entry("ege-a", 2, "ready"));
    let options = |name: &str, zone: &str, seeds: Vec<SocketAddr>| Options {
        name: name.to_owned(),
        zone: zone.to_owned(),
        cpu_share: 0.25,
        memory_mb: 260,
        max_open_files: 4_100,
        config_apply_ms: 3_000,
        drain_ms: 3_000,
        seeds,
    };
    let first = Instance::start(&root, &temporary, store.address, &options("front-ege-a-1", "ege-a", Vec::new()));
    let seeds = vec![first.control];
    let second = Instance::start(&root, &temporary, store.address, &options("front-ege-b-1", "ege-b", seeds));
    let mut instances = [first, second];
    if !instances.iter().all(Instance::wait_ready) {
        record.tell("the instances do not get ready");
        drop(instances);
        exit(2);
    }
    let before: Vec<bool> = instances.iter().map(|instance| send(instance.front) == Some(200)).collect();
    record.write(format!("served before the change: {before:?}"));
    // `bounds.budget_window_s` of the platform, which the template writes as `extra_window_s`.
    let window = if has_trouble() { "12.5" } else { "12" };
    for instance in &instances {
        instance.change_settings("\"extra_window_s\":10", &format!("\"extra_window_s\":{window}"));
        send_signal(instance.child.id(), SIGHUP);
    }
    record.write(format!("settings changed: budget_window_s is {window}; SIGHUP sent"));
    thread::sleep(Duration::from_secs(2));
    let mut ends = [0_usize; 2];
    for number in 0..instances.len() {
        send_signal(instances[number].child.id(), SIGTERM);
        let stopped_at = Instant::now();
        record.write(format!("SIGTERM to instance {number}"));
        while matches!(instances[number].child.try_wait(), Ok(None)) && stopped_at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = instances[number].child.kill();
        let _ = instances[number].child.wait();
        thread::sleep(RESTART_DELAY);
        instances[number].start_again();
        record.write(format!("instance {number} started again"));
        watch(&mut instances, &mut ends, Duration::from_secs(4), &record);
    }
    watch(&mut instances, &mut ends, REST_OF_DAY, &record);
    let after: Vec<bool> = instances.iter().map(|instance| send(instance.front) == Some(200)).collect();
    drop(instances);
    record.tell(format!(
        "processes that ended by themselves after the planned stops: {ends:?}; served before the change: {before:?}, at the end: {after:?}"
    ));
    if ends.iter().all(|count| *count >= COUNTED_ENDS) {
        record.tell("Fault: both programs do not start again");
        exit(1);
    }
    if ends == [0, 0] && before == [true, true] && after == [true, true] {
        record.tell("both programs run");
        exit(0);
    }
    record.tell("the case could not run");
    exit(2);
}

/// Starts processes again that have ended, as the platform does, and counts them.
fn watch(instances: &mut [Instance; 2], ends: &mut [usize; 2], length: Duration, record: &Record) {
    let started_at = Instant::now();
    while started_at.elapsed() < length {
        thread::sleep(Duration::from_millis(20));
        for (number, instance) in instances.iter_mut().enumerate() {
            if let Ok(Some(status)) = instance.child.try_wait() {
                ends[number] += 1;
                record.write(format!("instance {number} has ended by itself: {status}"));
                thread::sleep(RESTART_DELAY);
                instance.start_again();
            }
        }
    }
}

fn send(front: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let text = "GET /bench/a HTTP/1.1\r\nHost: pucu74.example\r\nAnvilhub-Request-Id: q-1\r\nAnvilhub-Deadline-Ms: 1500\r\n\r\n";
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut std::io::BufReader::new(stream)).ok()??;
    Some(answer.status())
}
