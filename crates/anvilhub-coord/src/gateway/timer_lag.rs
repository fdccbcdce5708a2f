use std::time::Duration;

/// Weight of a lag above the estimate: a busy instance is noticed within a few requests.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a lag below the estimate.
const FALL_WEIGHT: f64 = 0.05;
/// Longest lag that is allowed for; beyond it an instance is too slow for the cut to matter.
const MOST_LAG: Duration = Duration::from_millis(40);

/// How late this instance acts on a timer.
///
/// Answers the load pattern of an instance with a small share of a core: right after a request with many parts it is busy
/// sending, and a cut that is planned for the last moment would be made after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    seconds: f64,
}

impl TimerLag {
    /// Takes in how late a planned action happened.
    pub fn observe(&mut self, lag: Duration) {
        let lag = lag.min(MOST_LAG).as_secs_f64();
        let weight = match lag > self.seconds {
            true => RISE_WEIGHT,
            false => FALL_WEIGHT,
        };
        self.seconds += (lag - self.seconds) * weight;
    }

    /// The lag to allow for.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
