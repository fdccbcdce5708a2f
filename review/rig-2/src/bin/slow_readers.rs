//! Requesters that read their answers slowly, but without a pause, on kept connections to one instance.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anvilhub_review_rig_2::http::{read_head, read_message};
use anvilhub_review_rig_2::instance::{Instance, Options, arguments, has_trouble};
use anvilhub_review_rig_2::record::Record;
use anvilhub_review_rig_2::replica::Replica;
use anvilhub_review_rig_2::store::Store;
use anvilhub_review_rig_2::sys;

/// Requesters, each with one connection. They come at the rate of `archive-lookup` for 20 s.
const REQUESTERS: usize = 168;
const REQUESTS_PER_SECOND: f64 = 8.41;
/// Size of an answer.
const ANSWER_BYTES: usize = 1_048_576;
/// Time limit of the requests and `timeout_ms` of their route, those of `archive-lookup`.
const TIME_LIMIT_MS: u64 = 10_000;
/// A slow requester takes so much, then rests for so long.
const READ_BYTES: usize = 8_192;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Receive buffer of a requester's socket.
const RECEIVE_BUFFER: i32 = 8_192;
/// Number of connections that LOST lets a machine close without an answer.
const ALLOWED: usize = 3;

struct Outcome {
    is_complete: bool,
    bytes: usize,
    seconds: f64,
    longest_pause_ms: u128,
    end: String,
}

fn main() {
    let (root, case, temporary) = arguments();
    let record = Record::create(case.join("record.txt").to_str().expect("a path in UTF-8"));
    let is_slow = has_trouble();
    record.write(format!("requesters read slowly: {is_slow}"));
    let store = Store::start();
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    let replicas: Vec<Replica> = (0..13)
        .map(|number| {
            let (runs, record) = (Arc::clone(&runs), record.clone());
            Replica::start(
                &format!("i-{number}"),
                "arquivo",
                Arc::new(move |request| {
                    let id = request.header("anvilhub-request-id").unwrap_or("").to_owned();
                    record.write(format!("i-{number} runs {id}"));
                    runs.lock().expect("no thread panicked").insert(id);
                    match request.target().ends_with("small") {
                        true => vec![b'x'; 1_000],
                        false => vec![b'x'; ANSWER_BYTES],
                    }
                }),
            )
        })
        .collect();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"pucu74.example\",\"prefix\":\"/arquivo/\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":{TIME_LIMIT_MS},\"target_latency_ms\":1200,\"priority\":2,\
             \"backend\":\"arquivo\",\"max_attempts\":2}}],\"backends\":[{{\"name\":\"arquivo\",\
             \"health_check_path\":\"/health\",\"max_connections\":580,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        ),
    );
    for replica in &replicas {
        store.put(&format!("servers/{}", replica.id), &replica.entry("lisboa-a", 2, "ready"));
    }
    // The smaller machines of the site.
    let options = Options {
        name: "front-lisboa-a-1".to_owned(),
        zone: "lisboa-a".to_owned(),
        cpu_share: 0.12,
        memory_mb: 160,
        max_open_files: 4_100,
        config_apply_ms: 5_000,
        drain_ms: 5_000,
        seeds: Vec::new(),
    };
    let mut instance = Instance::start(&root, &temporary, store.address, &options);
    if !instance.wait_ready() {
        record.tell("the instance does not get ready");
        drop(instance);
        exit(2);
    }
    // In touch from here on: nothing has happened to the machine or the store for `stability_window_ms`.
    thread::sleep(Duration::from_millis(5_500));
    let threads: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let (record, front) = (record.clone(), instance.front);
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(number as f64 / REQUESTS_PER_SECOND));
                request_twice(number, front, is_slow, &record)
            })
        })
        .collect();
    let outcomes: Vec<Option<Outcome>> =
        threads.into_iter().map(|thread| thread.join().expect("no thread panicked")).collect();
    let is_running = matches!(instance.child.try_wait(), Ok(None));
    let memory = instance.peak_memory_kb();
    drop(instance);
    let runs = runs.lock().expect("no thread panicked");
    let (mut complete, mut cut, mut unclear) = (0, 0, 0);
    for (number, outcome) in outcomes.iter().enumerate() {
        match outcome {
            Some(outcome) if outcome.is_complete => complete += 1,
            Some(outcome) if outcome.end == "closed" && runs.contains(&format!("q-{number}")) => cut += 1,
            _ => unclear += 1,
        }
    }
    let pause = outcomes.iter().flatten().map(|outcome| outcome.longest_pause_ms).max().unwrap_or(0);
    record.tell(format!(
        "{complete} answers complete; {cut} connections closed in the middle of the answer although the replica ran the request; \
         {unclear} others; longest pause of a requester {pause} ms; peak memory {memory} kB of {} MB; still running: {is_running}",
        options.memory_mb
    ));
    match (cut, unclear) {
        (cut, _) if cut > ALLOWED => {
            record.tell("LOST is broken");
            exit(1);
        }
        (_, 0) => {
            record.tell("LOST holds");
            exit(0);
        }
        _ => {
            record.tell("the case could not run");
            exit(2);
        }
    }
}

/// Sends a small request, and on the same connection one with a long answer.
fn request_twice(number: usize, front: SocketAddr, is_slow: bool, record: &Record) -> Option<Outcome> {
    let stream = sys::connect_small(front, RECEIVE_BUFFER).ok();
    let first = stream.as_ref().and_then(|stream| {
        stream.set_read_timeout(Some(Duration::from_millis(TIME_LIMIT_MS))).ok()?;
        let mut writer = stream;
        writer.write_all(request_text("small", &format!("p-{number}")).as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream)).ok()?
    });
    let is_kept = first.is_some_and(|answer| answer.status() == 200 && answer.body.len() == 1_000);
    let stream = stream.filter(|_| is_kept)?;
    let started_at = Instant::now();
    record.write(format!("q-{number} sent"));
    (&stream).write_all(request_text("long", &format!("q-{number}")).as_bytes()).ok()?;
    let mut reader = BufReader::with_capacity(READ_BYTES, &stream);
    let mut outcome = Outcome {
        is_complete: false,
        bytes: 0,
        seconds: 0.0,
        longest_pause_ms: 0,
        end: String::new(),
    };
    match read_head(&mut reader) {
        Ok(Some(head)) if head.status() == 200 => {}
        Ok(Some(head)) => outcome.end = format!("status {}", head.status()),
        Ok(None) => outcome.end = "closed".to_owned(),
        Err(error) => outcome.end = error.to_string(),
    }
    let mut taken_at = Instant::now();
    let mut buffer = vec![0; READ_BYTES];
    outcome.bytes += reader.buffer().len();
    let buffered = reader.buffer().len();
    reader.consume(buffered);
    while outcome.end.is_empty() {
        if outcome.bytes >= ANSWER_BYTES {
            outcome.is_complete = true;
            outcome.end = "complete".to_owned();
            break;
        }
        if is_slow {
            thread::sleep(READ_PAUSE);
        }
        match (&stream).read(&mut buffer) {
            Ok(0) => outcome.end = "closed".to_owned(),
            Ok(size) => {
                outcome.bytes += size;
                outcome.longest_pause_ms = outcome.longest_pause_ms.max(taken_at.elapsed().as_millis());
                taken_at = Instant::now();
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => outcome.end = "closed".to_owned(),
            Err(error) => outcome.end = error.to_string(),
        }
        if started_at.elapsed() > Duration::from_millis(TIME_LIMIT_MS) {
            outcome.end = "time limit".to_owned();
        }
    }
    outcome.seconds = started_at.elapsed().as_secs_f64();
    record.write(format!(
        "q-{number} {}: {} of {ANSWER_BYTES} bytes after {:.3} s, longest pause {} ms",
        outcome.end, outcome.bytes, outcome.seconds, outcome.longest_pause_ms
    ));
    Some(outcome)
}

fn request_text(name: &str, id: &str) -> String {
    format!(
        "GET /arquivo/{name} HTTP/1.1\r\nHost: pucu74.example\r\nAnvilhub-Request-Id: {id}\r\n\
         Anvilhub-Deadline-Ms: {TIME_LIMIT_MS}\r\n\r\n"
    )
}
