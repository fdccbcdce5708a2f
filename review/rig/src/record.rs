//! What was sent, answered and run, in the order of its times.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a run, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(self.now(), text);
    }

    pub fn note_at(&self, time: Duration, text: impl Into<String>) {
        let mut lines = self.lines.lock().expect("no thread panicked");
        lines.push((time, text.into()));
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.note(text);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("no thread panicked").clone();
        lines.sort_by_key(|(time, _)| *time);
        let text: String = lines
            .iter()
            .map(|(time, line)| format!("{:8.3} s  {line}\n", time.as_secs_f64()))
            .collect();
        fs::write(path, text).expect("the record can be written");
    }
}
