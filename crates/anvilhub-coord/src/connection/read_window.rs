use std::time::Duration;

/// Time that an instance has to read what its connections received, before those without a byte count as silent.
///
/// Designed for a process that was paused, or whose threads wait for a processor: the bytes are there, but nothing has read
/// them yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadWindow {
    /// Time that the threads that read are given.
    pub duration: Duration,
    /// Maximum time by which a timer of these threads may fire late. If it fires later, they were kept from reading.
    pub max_lag: Duration,
}

impl Default for ReadWindow {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(50),
            max_lag: Duration::from_millis(25),
        }
    }
}

impl ReadWindow {
    /// Returns whether connections can be judged, if the timer of the window fired `elapsed` after the window began.
    pub fn permits_check(&self, elapsed: Duration) -> bool {
        elapsed <= self.duration + self.max_lag
    }
}
