use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Limits the number of log lines per second.
///
/// Lines below the level of warnings may use three quarters of the limit. The rest is reserved for warnings and errors:
/// when too much is logged, lines about successes are dropped before lines about failures.
#[derive(Clone, Debug)]
pub struct LineBudget {
    max_lines_per_second: u32,
    /// Number of lines admitted since `window_start`.
    line_count: u32,
    /// Start of the current window of one second.
    window_start: ClockTime,
}

impl LineBudget {
    /// Creates a budget of `max_lines_per_second`.
    pub fn new(max_lines_per_second: u32) -> Self {
        Self {
            max_lines_per_second,
            line_count: 0,
            window_start: ClockTime::default(),
        }
    }

    /// Returns whether a line may be written at `now`, and counts it if so. `is_warning` is true for warnings and
    /// errors.
    pub fn admit(&mut self, now: ClockTime, is_warning: bool) -> bool {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.line_count = 0;
        }
        let max_lines = match is_warning {
            true => self.max_lines_per_second,
            false => self.max_lines_per_second / 4 * 3,
        };
        if self.line_count >= max_lines {
            return false;
        }
        self.line_count += 1;
        true
    }
}
