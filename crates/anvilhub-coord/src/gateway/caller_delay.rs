use std::time::Duration;

/// Callers that state a time left above this fraction of the route's timeout, and not above the timeout, are assumed to
/// grant the whole timeout.
const FULL_TIMEOUT_FRACTION: f64 = 0.9;

/// Estimates how long a caller has waited before its request arrived.
///
/// Designed for callers that open a connection for a request, or that retry after a refusal: they state the time they
/// have left, so the difference from the longest time that callers of the route state is the time they have waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerDelay {
    /// Longest time left that any caller was assumed to have at the start of its wait.
    max_time_left: Duration,
}

impl CallerDelay {
    /// Records the time left that a request states, and returns the estimate of how long its caller had waited.
    /// `timeout` is the route's timeout.
    pub fn record_time_left(&mut self, time_left: Duration, timeout: Duration) -> Duration {
        let grants_timeout =
            time_left <= timeout && time_left > timeout.mul_f64(FULL_TIMEOUT_FRACTION);
        let full_time = if grants_timeout { timeout } else { time_left };
        self.max_time_left = self.max_time_left.max(full_time);
        self.max_time_left - time_left
    }
}
