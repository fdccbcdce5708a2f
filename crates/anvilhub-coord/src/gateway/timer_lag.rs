use std::time::Duration;

/// Weight of a new lag above the estimate. It is high, so that a busy instance is detected within a few requests.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a new lag below the estimate.
const FALL_WEIGHT: f64 = 0.05;
/// Maximum lag that is compensated; a slower instance misses the cutoff anyway.
const MAX_LAG: Duration = Duration::from_millis(40);

/// Estimates how late this instance's timers fire.
///
/// Designed for an instance with a small share of a core: right after a request with many sub-requests it is busy
/// sending, and a timer that is set for the last possible cutoff fires after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    lag_seconds: f64,
}

impl TimerLag {
    /// Records how late a timer fired.
    pub fn record(&mut self, lag: Duration) {
        let lag = lag.min(MAX_LAG).as_secs_f64();
        let weight = match lag > self.lag_seconds {
            true => RISE_WEIGHT,
            false => FALL_WEIGHT,
        };
        self.lag_seconds += (lag - self.lag_seconds) * weight;
    }

    /// Returns the lag to expect of the next timer.
    pub fn expected_lag(&self) -> Duration {
        Duration::from_secs_f64(self.lag_seconds)
    }
}
