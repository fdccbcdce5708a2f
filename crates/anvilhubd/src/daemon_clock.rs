use std::time::Instant;

use anvilhub_coord::time::ClockTime;

/// Monotonic clock, whose times count from when it was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonClock {
    started_at: Instant,
}

impl DaemonClock {
    /// Starts the clock at the current time.
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::default() + self.started_at.elapsed()
    }
}
