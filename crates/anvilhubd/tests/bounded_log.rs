//! Guards against a log that blocks its caller, grows without bound, or drops failures before successes.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use anvilhub_coord::time::ClockTime;
use anvilhubd::{LineBudget, LineWriter};

/// An output that blocks until the test allows a write.
struct BlockedPipe {
    gate: Arc<Mutex<Receiver<()>>>,
    written: Arc<AtomicUsize>,
}

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns when the test sends a message or drops the sender.
        let _ = self.gate.lock().expect("no test thread panicked").recv();
        self.written.fetch_add(bytes.len(), Ordering::SeqCst);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// When the reader stops reading, lines are dropped: the logger neither blocks nor uses more memory.
#[test]
fn unread_lines_dropped() {
    let (gate_sender, gate) = channel();
    let written = Arc::new(AtomicUsize::new(0));
    let pipe = BlockedPipe {
        gate: Arc::new(Mutex::new(gate)),
        written: Arc::clone(&written),
    };
    let writer = LineWriter::spawn(pipe).expect("a thread starts");
    for _ in 0..100_000 {
        writer.enqueue(vec![b'x'; 100], true);
    }
    assert!(
        writer.dropped_count() > 90_000,
        "{} lines dropped",
        writer.dropped_count()
    );
    assert_eq!(written.load(Ordering::SeqCst), 0);
    drop(gate_sender);
}

#[test]
fn warnings_keep_reserve() {
    let mut budget = LineBudget::new(100);
    let now = ClockTime::from_millis(5_000);
    let ordinary = (0..1_000).filter(|_| budget.admit(now, false)).count();
    let warnings = (0..1_000).filter(|_| budget.admit(now, true)).count();
    assert_eq!((ordinary, warnings), (75, 25));
    assert!(budget.admit(ClockTime::from_millis(6_000), false));
}

/// The number of lines per second does not grow with the load, here ten times the maximum load of an instance.
#[test]
fn line_rate_bounded() {
    let mut budget = LineBudget::new(600);
    let lines = (0..30_000_u64)
        .filter(|index| budget.admit(ClockTime(10_000_000 + index * 100), index % 3 == 0))
        .count();
    assert_eq!(lines, 3 * 600);
}
