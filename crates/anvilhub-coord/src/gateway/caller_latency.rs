use std::collections::VecDeque;
use std::time::Duration;

/// Waits that are remembered.
const MOST_WAITS: usize = 32;
/// Waits from which on the way is known.
const LEAST_WAITS: usize = 8;
/// Waits below this come from rounding, not from a way.
const LEAST_WAIT: Duration = Duration::from_millis(2);
/// Part of the timeout from which on a wait is that of a caller that came back, and says nothing of its way.
const RETURN_SHARE: f64 = 0.1;
/// Quantile of the waits: some callers were held up on their way.
const USUAL_QUANTILE: f64 = 0.25;
/// What reading a request and writing its answer add to the way.
const HANDLING_TIME: Duration = Duration::from_millis(2);

/// Learns how long a request and its answer are on their way between a caller and this instance.
///
/// Answers the load pattern of gathered answers that wait for a late part until the last moment: callers may be near
/// or far, and time that is kept for a way which is shorter is taken from the parts. Opening a connection takes a
/// caller one way there and back, as a request and its answer do, and shows in the time that its first request has
/// left.
#[derive(Clone, Debug, Default)]
pub struct CallerLatency {
    waits: VecDeque<Duration>,
}

impl CallerLatency {
    /// Takes in what a caller had waited before its request arrived; `timeout` is that of the route.
    pub fn observe(&mut self, waited: Duration, timeout: Duration) {
        if waited < LEAST_WAIT || waited > timeout.mul_f64(RETURN_SHARE) {
            return;
        }
        if self.waits.len() == MOST_WAITS {
            self.waits.pop_front();
        }
        self.waits.push_back(waited);
    }

    /// The time to keep for the way, at most `most`, which also stands for a way that is not known.
    pub fn time(&self, most: Duration) -> Duration {
        if self.waits.len() < LEAST_WAITS {
            return most;
        }
        let mut sorted: Vec<Duration> = self.waits.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * USUAL_QUANTILE) as usize;
        most.min(sorted[index] + HANDLING_TIME)
    }
}
