//! The settings files change as processes are started again after a planned stop, and SIGHUP says so at once.

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
/// Number of changes of each settings file, each as the process starts.
const CHANGES: usize = 3;
/// Time from a start to SIGHUP with `TROUBLE=0`.
const CALM_DELAY: Duration = Duration::from_secs(1);
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
    let mut ends = [0_usize; 2];
    let mut window = 10;
    for number in 0..instances.len() {
        send_signal(instances[number].child.id(), SIGTERM);
        let stopped_at = Instant::now();
        while matches!(instances[number].child.try_wait(), Ok(None)) && stopped_at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = instances[number].child.kill();
        let _ = instances[number].child.wait();
        record.write(format!("instance {number} stopped as planned"));
        thread::sleep(RESTART_DELAY);
        instances[number].start_again();
        for _ in 0..CHANGES {
            let next = window + 1;
            instances[number]
                .change_settings(&format!("\"extra_window_s\":{window},"), &format!("\"extra_window_s\":{next},"));
            if !has_trouble() {
                thread::sleep(CALM_DELAY);
            }
            send_signal(instances[number].child.id(), SIGHUP);
            record.write(format!("instance {number}: settings changed, SIGHUP sent"));
            window = next;
            thread::sleep(Duration::from_secs(1));
            if let Ok(Some(status)) = instances[number].child.try_wait() {
                ends[number] += 1;
                record.write(format!("instance {number} has ended by itself: {status}"));
                thread::sleep(RESTART_DELAY);
                instances[number].start_again();
            }
        }
        window = 10;
    }
    thread::sleep(Duration::from_secs(2));
    let after: Vec<bool> = instances.iter().map(|instance| send(instance.front) == Some(200)).collect();
    drop(instances);
    record.tell(format!("processes ended by SIGHUP: {ends:?} of {CHANGES} each; served before: {before:?}, at the end: {after:?}"));
    if ends.iter().all(|count| *count >= COUNTED_ENDS) {
        record.tell("Fault: both processes ended three times, with no impairment");
        exit(1);
    }
    match before == [true, true] && after == [true, true] {
        true => exit(0),
        false => exit(2),
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
