use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Limits the number of log lines per second.
///
/// Lines below the level of warnings may use three quarters of the limit. The rest is reserved for warnings and errors, so
/// that an overload of the log drops successes before failures.
#[derive(Clone, Debug)]
pub struct LineBudget {
    max_lines: u32,
    written: u32,
    window_start: ClockTime,
}

impl LineBudget {
    /// Creates a budget of `max_lines` per second.
    pub fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            written: 0,
            window_start: ClockTime::default(),
        }
    }

    /// Returns whether a line may be written at `now`, and counts it if so.
    pub fn admit(&mut self, now: ClockTime, is_warning: bool) -> bool {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.written = 0;
        }
        let max_lines = match is_warning {
            true => self.max_lines,
            false => self.max_lines / 4 * 3,
        };
        if self.written >= max_lines {
            return false;
        }
        self.written += 1;
        true
    }
}
