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

/// Maximum number of lines per second. An instance at its maximum load answers a few hundred requests per second, with
/// a line for each.
const MAX_LINES_PER_SECOND: u32 = 600;
/// Maximum number of lines that wait for a slow reader of the log: about 600 KB, at about 300 bytes per line.
const MAX_QUEUED_LINES: usize = 2_048;
/// Pause after the first line of a batch, during which further lines are collected for the same write.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time for which shutdown waits for the last lines to be written.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Writes log lines from a separate thread.
///
/// Lines beyond the limits are dropped and counted, so that a reader of the log that stops reading neither blocks the
/// threads that log nor makes the process use more memory.
pub struct LineWriter {
    line_sender: Sender<Vec<u8>>,
    /// Receives a message when the thread has ended.
    end_receiver: Receiver<()>,
    budget: Mutex<LineBudget>,
    /// Number of lines dropped since the start.
    dropped_count: Arc<AtomicU64>,
    clock: DaemonClock,
}

impl LineWriter {
    /// Starts the thread, which writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (line_sender, line_receiver) = bounded(MAX_QUEUED_LINES);
        let (end_sender, end_receiver) = bounded(1);
        let dropped_count: Arc<AtomicU64> = Arc::default();
        let thread_dropped_count = Arc::clone(&dropped_count);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_lines(output, &line_receiver, &thread_dropped_count);
                // Sending fails if the logger no longer waits and was dropped.
                let _ = end_sender.try_send(());
            })?;
        Ok(Self {
            line_sender,
            end_receiver,
            budget: Mutex::new(LineBudget::new(MAX_LINES_PER_SECOND)),
            dropped_count,
            clock: DaemonClock::start(),
        })
    }

    /// Queues a line, or drops and counts it if a limit is reached. `is_warning` is true for warnings and errors.
    pub fn enqueue(&self, line: Vec<u8>, is_warning: bool) {
        let now = self.clock.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = budget.admit(now, is_warning);
        drop(budget);
        if !is_admitted || self.line_sender.try_send(line).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
            counter!("anvilhub_log_lines_dropped_total").increment(1);
        }
    }

    /// Returns the number of lines that were dropped since the start.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count.load(Ordering::Relaxed)
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
        // An empty line makes the thread end. If the queue is full, the reader of the log has stopped reading, so the
        // thread is not waited for.
        if self.line_sender.try_send(Vec::new()).is_ok() {
            let _ = self.end_receiver.recv_timeout(SHUTDOWN_TIMEOUT);
        }
    }
}

/// Writes lines in batches until an empty line arrives or a write fails. Reports in the log how many lines were dropped
/// since the last batch.
fn write_lines(
    mut output: impl Write,
    line_receiver: &Receiver<Vec<u8>>,
    dropped_count: &AtomicU64,
) {
    let mut batch = Vec::new();
    let mut reported_count = 0;
    while let Ok(line) = line_receiver.recv() {
        let mut is_last = line.is_empty();
        batch.extend(line);
        if !is_last {
            thread::sleep(WRITE_PAUSE);
        }
        while let Ok(line) = line_receiver.try_recv() {
            is_last |= line.is_empty();
            batch.extend(line);
        }
        let known_count = dropped_count.load(Ordering::Relaxed);
        if known_count > reported_count {
            batch.extend(build_drop_report(known_count - reported_count));
            reported_count = known_count;
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        if written.is_err() || is_last {
            return;
        }
    }
}

fn build_drop_report(count: u64) -> Vec<u8> {
    let line = serde_json::json!({"level": "WARN", "event": "log lines dropped", "count": count});
    format!("{line}\n").into_bytes()
}
