use std::time::Instant;

use anvilhub_coord::time::ClockTime;

/// Monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonClock {
    start: Instant,
}

impl DaemonClock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::default() + self.start.elapsed()
    }
}
