use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of waits that are kept.
const MAX_SAMPLES: usize = 32;
/// Minimum number of waits for an estimate.
const MIN_SAMPLES: usize = 8;
/// Minimum wait that is recorded. Shorter waits come from rounding, not from network latency.
const MIN_WAIT: Duration = Duration::from_millis(2);
/// Maximum wait that is recorded, as a fraction of the timeout. Longer waits are those of retrying callers and say
/// nothing about the network.
const MAX_WAIT_FRACTION: f64 = 0.1;
/// Quantile of the waits that is used as the estimate. It is low because some waits include delays at the caller.
const WAIT_QUANTILE: f64 = 0.25;
/// Time for reading a request and writing its answer, in addition to the network latency.
const HANDLING_TIME: Duration = Duration::from_millis(2);

/// Estimates the time to reserve for the network round trip between callers and this instance and for handling a
/// request.
///
/// Designed for gathered answers that wait for a late shard until the last moment: callers may be close or distant, and
/// reserving more time than the network needs takes that time from the shards. Opening a connection costs a caller
/// one round trip, as a request and its answer do, and reduces the time left that its first request states.
#[derive(Clone, Debug, Default)]
pub struct CallerLatency {
    waits: VecDeque<Duration>,
}

impl CallerLatency {
    /// Records how long a caller had waited before its request arrived; `timeout` is the route's timeout.
    pub fn record_wait(&mut self, waited: Duration, timeout: Duration) {
        if waited < MIN_WAIT || waited > timeout.mul_f64(MAX_WAIT_FRACTION) {
            return;
        }
        if self.waits.len() == MAX_SAMPLES {
            self.waits.pop_front();
        }
        self.waits.push_back(waited);
    }

    /// Returns the time to reserve, at most `max`; returns `max` while too few waits are recorded.
    pub fn estimate(&self, max: Duration) -> Duration {
        if self.waits.len() < MIN_SAMPLES {
            return max;
        }
        let mut sorted: Vec<Duration> = self.waits.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * WAIT_QUANTILE) as usize;
        max.min(sorted[index] + HANDLING_TIME)
    }
}
