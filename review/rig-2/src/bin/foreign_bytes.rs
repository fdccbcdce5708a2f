//! Entries of another writer among those of the replicas, with bytes that cannot be read and as long as the store allows.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anvilhub_review_rig_2::http::read_message;
use anvilhub_review_rig_2::instance::{Instance, Options, arguments, has_trouble};
use anvilhub_review_rig_2::record::Record;
use anvilhub_review_rig_2::replica::Replica;
use anvilhub_review_rig_2::store::Store;

/// Entries of the other writer.
const FOREIGN_ENTRIES: usize = 48;
/// `value_bytes` of the store.
const VALUE_BYTES: usize = 1_048_576;
/// Length of the day.
const DAY: Duration = Duration::from_secs(30);
/// The platform's pause before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Memory of the small machines: megabytes of 1,000,000 bytes.
const MEMORY_MB: u64 = 160;
/// Number of ends of each process from which the rule counts them.
const COUNTED_ENDS: usize = 3;

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
    if has_trouble() {
        for number in 0..FOREIGN_ENTRIES {
            // No UTF-8, no JSON.
            store.put_bytes(&format!("servers/other-{number:03}"), &vec![0xfe; VALUE_BYTES]);
        }
        record.write(format!("another writer has written {FOREIGN_ENTRIES} entries of {VALUE_BYTES} bytes"));
    }
    let options = |name: &str, zone: &str, seeds: Vec<SocketAddr>| Options {
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
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = [first.front, second.front]
        .into_iter()
        .map(|front| {
            let (is_over, record, served) = (Arc::clone(&is_over), record.clone(), Arc::new(AtomicUsize::new(0)));
            let count = Arc::clone(&served);
            let thread = thread::spawn(move || call(front, &is_over, &record, &count));
            (thread, served)
        })
        .collect();
    let mut instances = [first, second];
    let mut ends = [0_usize; 2];
    let mut own_exits = 0;
    let mut peaks = [0_u64; 2];
    let started_at = Instant::now();
    while started_at.elapsed() < DAY {
        thread::sleep(Duration::from_millis(2));
        for (number, instance) in instances.iter_mut().enumerate() {
            let memory = instance.memory_kb();
            peaks[number] = peaks[number].max(memory);
            let is_over_limit = memory * 1_024 > MEMORY_MB * 1_000_000;
            let exit_status = instance.child.try_wait().ok().flatten();
            if let Some(status) = exit_status {
                own_exits += 1;
                record.write(format!("instance {number} has ended by itself: {status}"));
            } else if is_over_limit {
                // "A process that exceeds `memory_mb` is killed."
                let _ = instance.child.kill();
                let _ = instance.child.wait();
                record.write(format!("instance {number} is killed: {memory} kB of {MEMORY_MB} MB"));
            } else {
                continue;
            }
            ends[number] += 1;
            thread::sleep(RESTART_DELAY);
            instance.start_again();
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let served: Vec<usize> = callers
        .into_iter()
        .map(|(thread, served)| {
            thread.join().expect("no thread panicked");
            served.load(Ordering::Relaxed)
        })
        .collect();
    drop(instances);
    record.tell(format!(
        "ends over the memory limit or by themselves: {ends:?} (of these {own_exits} by themselves); highest memory seen {peaks:?} kB \
         of {MEMORY_MB} MB; requests served: {served:?}"
    ));
    if ends.iter().all(|count| *count >= COUNTED_ENDS) {
        record.tell("Fault: both processes ended three times or more, with no impairment");
        exit(1);
    }
    if ends == [0, 0] && served.iter().all(|count| *count > 0) {
        record.tell("no process ended");
        exit(0);
    }
    record.tell("the case could not run");
    exit(2);
}

/// Sends a request five times a second, each on a new connection.
fn call(front: SocketAddr, is_over: &AtomicBool, record: &Record, served: &AtomicUsize) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(200));
        number += 1;
        let answer = send(front, number);
        record.write(format!("request {number} to {front}: {answer:?}"));
        if answer == Some(200) {
            served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn send(front: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = format!(
        "GET /arquivo/a HTTP/1.1\r\nHost: pucu74.example\r\nAnvilhub-Request-Id: q-{number}\r\nAnvilhub-Deadline-Ms: 2000\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut std::io::BufReader::new(stream)).ok()??;
    Some(answer.status())
}
