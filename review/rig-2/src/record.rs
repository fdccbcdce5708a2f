//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the seconds since the start to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no thread panicked");
        let _ = writeln!(file, "{:9.3} {}", self.seconds(), line.as_ref());
    }

    /// Writes a line to the record and to the output.
    pub fn tell(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
    }
}
