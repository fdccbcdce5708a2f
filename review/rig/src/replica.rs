//! A stand-in of a replica, as PROTOCOL.md describes it: slots, a short queue, a limit of connections, and requests that are
//! dropped when their connection closes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, response};
use crate::record::Record;

/// What kind of replica to start.
#[derive(Clone)]
pub struct ReplicaPlan {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub max_connections: usize,
    /// Time of work on a request.
    pub work: Duration,
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub replica: String,
}

#[derive(Clone)]
pub struct Replica(Arc<Shared>);

struct Shared {
    plan: ReplicaPlan,
    address: SocketAddr,
    record: Record,
    slowness: Mutex<u32>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    is_ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    runs: Mutex<Vec<Arrival>>,
}

impl Replica {
    pub fn start(plan: ReplicaPlan, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let shared = Arc::new(Shared {
            plan,
            address: listener.local_addr().expect("the listener is bound"),
            record: record.clone(),
            slowness: Mutex::new(1),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            is_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                let shared = Arc::clone(&accepting);
                let open = shared.connections.fetch_add(1, Ordering::SeqCst);
                if open >= shared.plan.max_connections {
                    shared.connections.fetch_sub(1, Ordering::SeqCst);
                    continue;
                }
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(1));
                    shared.serve(stream);
                    shared.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self(shared)
    }

    pub fn id(&self) -> &str {
        &self.0.plan.id
    }

    /// Makes the replica's work take `factor` times as long, for requests that begin from now on.
    pub fn set_slowness(&self, factor: u32) {
        *self.0.slowness.lock().expect("no thread panicked") = factor;
    }

    /// Returns the value that the replica writes to the store under `servers/ID`.
    pub fn entry(&self, state: &str) -> String {
        let plan = &self.0.plan;
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\
             \"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":1700000000000}}",
            plan.service, self.0.address, plan.zone, plan.slots
        )
    }

    /// Returns the requests that have arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().expect("no thread panicked").clone()
    }

    /// Returns the requests on which work has begun.
    pub fn runs(&self) -> Vec<Arrival> {
        self.0.runs.lock().expect("no thread panicked").clone()
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let _ = writer.set_read_timeout(Some(Duration::from_secs(15)));
            let Ok(Some(request)) = Message::read(&mut reader) else {
                return;
            };
            let Some(answer) = self.handle(&request, &writer) else {
                return;
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request; `None` if its connection closed meanwhile.
    fn handle(&self, request: &Message, stream: &TcpStream) -> Option<Vec<u8>> {
        let instance = ("anvilhub-instance-id", self.plan.id.clone());
        if request.target() == "/health" {
            return Some(response(200, &[instance, self.load()], b""));
        }
        let id = request
            .header("anvilhub-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("anvilhub-request-id", id.clone());
        if request
            .header("anvilhub-expected-instance")
            .is_some_and(|expected| expected != self.plan.id)
        {
            return Some(response(421, &[echo, instance], b""));
        }
        let millis = request.header("anvilhub-deadline-ms");
        let left = millis.and_then(|millis| millis.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(left);
        let arrival = Arrival {
            at: self.record.now(),
            id,
            replica: self.plan.id.clone(),
        };
        self.record.note(format!(
            "request {} reaches {} with {left} ms left",
            arrival.id, self.plan.id
        ));
        self.arrivals
            .lock()
            .expect("no thread panicked")
            .push(arrival.clone());
        let not_run = ("anvilhub-not-executed", "1".to_owned());
        if !self.take_slot(stream, deadline)? {
            return Some(response(503, &[echo, not_run, self.load()], b""));
        }
        let arrival = Arrival {
            at: self.record.now(),
            ..arrival
        };
        self.record
            .note(format!("{} runs request {}", self.plan.id, arrival.id));
        self.runs
            .lock()
            .expect("no thread panicked")
            .push(arrival.clone());
        let work = self.plan.work * *self.slowness.lock().expect("no thread panicked");
        let ends = (Instant::now() + work).min(deadline);
        let is_cut = work > deadline.saturating_duration_since(Instant::now());
        while Instant::now() < ends {
            if is_closed(stream) {
                self.running.fetch_sub(1, Ordering::SeqCst);
                return None;
            }
            thread::sleep(Duration::from_millis(5).min(ends - Instant::now().min(ends)));
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let signature = (
            "anvilhub-response-signature",
            format!("{}.{}", self.plan.id, arrival.id),
        );
        let status = if is_cut { 504 } else { 200 };
        let headers = [echo, signature, self.load()];
        Some(response(status, &headers, arrival.id.as_bytes()))
    }

    /// Waits for a slot. Returns false if the replica is full or the deadline passes in its queue, `None` if the
    /// connection closes.
    fn take_slot(&self, stream: &TcpStream, deadline: Instant) -> Option<bool> {
        let take = || {
            self.running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
                    (running < self.plan.slots).then_some(running + 1)
                })
                .is_ok()
        };
        if take() {
            return Some(true);
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.plan.queue {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return Some(false);
        }
        let result = loop {
            if take() {
                break Some(true);
            }
            if Instant::now() >= deadline {
                break Some(false);
            }
            if is_closed(stream) {
                break None;
            }
            thread::sleep(Duration::from_millis(2));
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn load(&self) -> (&'static str, String) {
        let running = self.running.load(Ordering::SeqCst);
        let waiting = self.waiting.load(Ordering::SeqCst);
        let load = format!("{running},{waiting},{}", self.plan.slots);
        ("anvilhub-server-load", load)
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
