//! The log of the gateway is bounded, keeps failures before successes, and never blocks.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use anvilhub_coord::time::ClockTime;
use anvilhubd::{LineBudget, LineWriter};

/// An output whose reader reads only when the test says so.
struct StuckPipe {
    gate: Arc<Mutex<Receiver<()>>>,
    written: Arc<AtomicUsize>,
}

impl Write for StuckPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns when the test opens the gate.
        let _ = self.gate.lock().expect("no test thread panicked").recv();
        self.written.fetch_add(bytes.len(), Ordering::SeqCst);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A reader that stops reading neither blocks the writer nor lets lines pile up.
#[test]
fn full_pipe_drops_lines() {
    let (open, gate) = channel();
    let written = Arc::new(AtomicUsize::new(0));
    let pipe = StuckPipe {
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
    drop(open);
}

#[test]
fn failures_go_first() {
    let mut budget = LineBudget::new(100);
    let now = ClockTime::from_millis(5_000);
    let successes = (0..1_000).filter(|_| budget.admit(now, false)).count();
    let failures = (0..1_000).filter(|_| budget.admit(now, true)).count();
    assert_eq!((successes, failures), (75, 25));
    assert!(budget.admit(ClockTime::from_millis(6_000), false));
}

/// Ten times the highest load leaves the volume of a second where it was.
#[test]
fn volume_is_bounded() {
    let mut budget = LineBudget::new(600);
    let lines = (0..30_000_u64)
        .filter(|index| budget.admit(ClockTime(10_000_000 + index * 100), index % 3 == 0))
        .count();
    assert_eq!(lines, 3 * 600);
}
