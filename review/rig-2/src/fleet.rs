//! Instances that the platform keeps running, their requesters, and the final fault with the rule RECOVER.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::instance::Instance;
use crate::record::Record;

/// The platform's pause before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which the platform looks at a process again.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// What happened to a process.
#[derive(Default)]
pub struct Ends {
    /// Exits of its own.
    pub own: AtomicUsize,
    /// Kills because it held more than its memory.
    pub memory: AtomicUsize,
    /// Highest memory seen, in kB.
    pub peak_kb: AtomicUsize,
}

/// A process that the platform starts again when it ends, and kills when it exceeds its memory.
pub struct Kept {
    pub front: SocketAddr,
    pub ends: Arc<Ends>,
    pub instance: Arc<Mutex<Instance>>,
    is_down: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
    keeper: Option<JoinHandle<()>>,
}

impl Kept {
    /// Keeps `instance` running. `memory_mb` are megabytes of 1,000,000 bytes.
    pub fn keep(instance: Instance, number: usize, memory_mb: u64, record: &Record) -> Self {
        let mut kept = Self {
            front: instance.front,
            ends: Arc::default(),
            instance: Arc::new(Mutex::new(instance)),
            is_down: Arc::default(),
            is_over: Arc::default(),
            keeper: None,
        };
        let (instance, ends, record) = (Arc::clone(&kept.instance), Arc::clone(&kept.ends), record.clone());
        let (is_down, is_over) = (Arc::clone(&kept.is_down), Arc::clone(&kept.is_over));
        kept.keeper = Some(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(LOOK_INTERVAL);
                if is_down.load(Ordering::SeqCst) {
                    continue;
                }
                let mut instance = instance.lock().expect("no thread panicked");
                let memory = instance.memory_kb();
                ends.peak_kb.fetch_max(memory as usize, Ordering::SeqCst);
                if let Ok(Some(status)) = instance.child.try_wait() {
                    if is_down.load(Ordering::SeqCst) {
                        continue;
                    }
                    ends.own.fetch_add(1, Ordering::SeqCst);
                    record.write(format!("instance {number} has ended by itself: {status}"));
                } else if memory * 1_024 > memory_mb * 1_000_000 {
                    let _ = instance.child.kill();
                    let _ = instance.child.wait();
                    ends.memory.fetch_add(1, Ordering::SeqCst);
                    record.write(format!("instance {number} is killed: {memory} kB of {memory_mb} MB"));
                } else {
                    continue;
                }
                thread::sleep(RESTART_DELAY);
                instance.start_again();
            }
        }));
        kept
    }

    /// Kills the process; it stays down until `bring_back`.
    pub fn kill(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut instance = self.instance.lock().expect("no thread panicked");
        let _ = instance.child.kill();
        let _ = instance.child.wait();
    }

    pub fn bring_back(&self) {
        self.instance.lock().expect("no thread panicked").start_again();
        self.is_down.store(false, Ordering::SeqCst);
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(keeper) = self.keeper.take() {
            let _ = keeper.join();
        }
    }
}

/// Requests that were sent in a part of the day, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub sent: usize,
    pub served: usize,
}

/// Requesters that send to the instances in turn, each request on a new connection.
pub struct Traffic {
    pub host: &'static str,
    pub target: &'static str,
    pub time_limit: Duration,
    pub per_second: f64,
}

impl Traffic {
    /// Sends requests for `length` and returns once all have ended.
    pub fn send(&self, kept: &[Kept], length: Duration, name: &str, record: &Record) -> Served {
        let (started_at, mut requests) = (Instant::now(), Vec::new());
        for number in 0_usize.. {
            let due = Duration::from_secs_f64(number as f64 / self.per_second);
            if due >= length {
                break;
            }
            thread::sleep(due.saturating_sub(started_at.elapsed()));
            let front = kept[number % kept.len()].front;
            let text = format!(
                "GET {} HTTP/1.1\r\nHost: {}\r\nAnvilhub-Request-Id: {name}-{number}\r\nAnvilhub-Deadline-Ms: {}\r\n\r\n",
                self.target,
                self.host,
                self.time_limit.as_millis()
            );
            let (time_limit, id, record) = (self.time_limit, format!("{name}-{number}"), record.clone());
            requests.push(thread::spawn(move || {
                let status = send(front, &text, time_limit);
                record.write(format!("{id} to {front}: {status:?}"));
                status == Some(200)
            }));
        }
        let sent = requests.len();
        let results = requests.into_iter().map(|request| request.join().expect("no thread panicked"));
        Served { sent, served: results.filter(|is_served| *is_served).count() }
    }
}

fn send(front: SocketAddr, text: &str, time_limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(time_limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&mut BufReader::new(stream)).ok()??.status())
}

/// The final fault: all processes are killed, and start again after `down`. Then the requests that RECOVER counts: those sent
/// later than `recovery` after the machines are back, for `length`.
pub fn kill_all_and_recover(
    kept: &[Kept],
    traffic: &Traffic,
    (down, recovery, length): (Duration, Duration, Duration),
    record: &Record,
) -> Served {
    kept.iter().for_each(Kept::kill);
    record.write("all processes are killed");
    thread::sleep(down);
    kept.iter().for_each(Kept::bring_back);
    record.write("all machines are back");
    let early = traffic.send(kept, recovery, "early", record);
    record.write(format!("before `recovery_s` is over: {early:?}"));
    traffic.send(kept, length, "late", record)
}

/// Judges RECOVER, writes the result and returns the exit code: 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
pub fn judge(before: Served, after: Served, kept: &[Kept], record: &Record) -> i32 {
    let quarter = |part: Served| part.sent > 0 && part.served * 4 >= part.sent;
    for (number, kept) in kept.iter().enumerate() {
        let count = |number: &AtomicUsize| number.load(Ordering::SeqCst);
        let ends = &kept.ends;
        record.tell(format!(
            "instance {number}: {} ends over the memory limit, {} by itself; highest memory seen {} kB",
            count(&ends.memory),
            count(&ends.own),
            count(&ends.peak_kb)
        ));
    }
    record.tell(format!(
        "before the final fault {} of {} requests were served; of those sent later than `recovery_s` after the machines were back {} of {}",
        before.served, before.sent, after.served, after.sent
    ));
    let (verdict, code) = match (quarter(before), quarter(after)) {
        (true, false) => ("RECOVER is broken", 1),
        (true, true) => ("RECOVER holds", 0),
        (false, _) => ("the case could not run", 2),
    };
    record.tell(verdict);
    code
}
