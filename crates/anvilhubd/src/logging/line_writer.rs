use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::{Level, Record};
use metrics::counter;

use crate::daemon_clock::DaemonClock;

use super::{LineBudget, json_line};

/// Maximum number of lines per second. An instance at its maximum load finishes a few hundred requests per second.
const MAX_LINES_PER_SECOND: u32 = 600;
/// Maximum number of lines that wait for a slow reader of the log, about 600 KB at about 300 bytes per line.
const MAX_QUEUED_LINES: usize = 2_048;
/// Pause between two writes, so that one write contains many lines.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time for writing the last lines at the end of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Writes log lines from a separate thread.
///
/// Lines beyond the limits are dropped and counted, so that logging neither blocks its caller nor uses more memory when
/// the reader of the log stops reading.
pub struct LineWriter {
    lines: Sender<Vec<u8>>,
    ended: Receiver<()>,
    budget: Mutex<LineBudget>,
    dropped: Arc<AtomicU64>,
    clock: DaemonClock,
}

impl LineWriter {
    /// Starts the thread, which writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, queued_lines) = bounded(MAX_QUEUED_LINES);
        let (end_sender, ended) = bounded(1);
        let dropped: Arc<AtomicU64> = Arc::default();
        let dropped_count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_lines(output, &queued_lines, &dropped_count);
                // The logger may have given up waiting.
                let _ = end_sender.try_send(());
            })?;
        Ok(Self {
            lines,
            ended,
            budget: Mutex::new(LineBudget::new(MAX_LINES_PER_SECOND)),
            dropped,
            clock: DaemonClock::start(),
        })
    }

    /// Queues a line, or drops and counts it when a limit is reached.
    pub fn enqueue(&self, line: Vec<u8>, is_warning: bool) {
        let now = self.clock.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = budget.admit(now, is_warning);
        drop(budget);
        if !is_admitted || self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            counter!("anvilhub_log_lines_dropped_total").increment(1);
        }
    }

    /// Returns the number of lines that were dropped and not yet reported in the log.
    pub fn dropped_count(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(512);
        json_line::write(&mut line, now, record)?;
        line.push(b'\n');
        self.enqueue(line, record.level() <= Level::Warn);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn format(&mut self, _format: FormatFunction) {}

    fn shutdown(&self) {
        // An empty line makes the thread end. A full queue means that the reader is stuck, so it is not waited for.
        if self.lines.try_send(Vec::new()).is_ok() {
            let _ = self.ended.recv_timeout(SHUTDOWN_TIMEOUT);
        }
    }
}

/// Writes lines until an empty one arrives or a write fails.
fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        let mut is_last = line.is_empty();
        batch.extend(line);
        if !is_last {
            thread::sleep(WRITE_PAUSE);
        }
        while let Ok(line) = lines.try_recv() {
            is_last |= line.is_empty();
            batch.extend(line);
        }
        match dropped.swap(0, Ordering::Relaxed) {
            0 => {}
            count => batch.extend(dropped_line(count)),
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        if written.is_err() || is_last {
            return;
        }
    }
}

fn dropped_line(count: u64) -> Vec<u8> {
    let line = serde_json::json!({"level": "WARN", "event": "log lines dropped", "count": count});
    format!("{line}\n").into_bytes()
}
