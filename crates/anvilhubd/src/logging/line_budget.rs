use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Bounds the lines of a second.
///
/// Ordinary lines may use three quarters of them; the rest is kept for warnings and errors, so that failures are written
/// before successes when there is too much to write.
#[derive(Clone, Debug)]
pub struct LineBudget {
    most: u32,
    written: u32,
    second: ClockTime,
}

impl LineBudget {
    /// A budget of `most` lines a second.
    pub fn new(most: u32) -> Self {
        Self {
            most,
            written: 0,
            second: ClockTime::default(),
        }
    }

    /// Says whether a line may be written at `now`, and counts it.
    pub fn admit(&mut self, now: ClockTime, is_warning: bool) -> bool {
        if now.since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.written = 0;
        }
        let most = match is_warning {
            true => self.most,
            false => self.most / 4 * 3,
        };
        if self.written >= most {
            return false;
        }
        self.written += 1;
        true
    }
}
