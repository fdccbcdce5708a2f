use std::time::Duration;

use crate::routing::LatencyWindow;
use crate::time::ClockTime;

/// Number of finished requests after which the limit is updated.
const MAX_WINDOW_REQUESTS: u32 = 20;
/// Time after which the limit is updated even if fewer requests have finished.
const MAX_WINDOW_TIME: Duration = Duration::from_millis(200);
/// Maximum ratio of the observed to the uncontended delay at which the limit is not lowered. Below 2, a slot would
/// idle between the end of one request and the arrival of the next.
const MAX_DELAY_RATIO: f64 = 2.0;
/// Fraction of a change that is applied per window, so that one slow window does not halve the limit.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Factor by which the estimate of the uncontended delay grows per window, so that it adapts to a service that has
/// become permanently slower.
const UNCONTENDED_GROWTH_FACTOR: f64 = 1.002;

/// A concurrency limit that adapts to the delay of the requests that it admits.
///
/// The delay is the time from the admission of a request to its end. The limit is lowered if the median delay exceeds
/// `MAX_DELAY_RATIO` times the delay without contention, and raised if requests had to wait.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    /// Estimate of the delay without contention: the lowest median so far, raised slowly over time.
    uncontended_micros: Option<f64>,
    window: LatencyWindow,
    window_start: ClockTime,
    /// Whether a request had to wait since the last update.
    is_contended: bool,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `initial_limit` and stays within `min_limit..=max_limit`, with a minimum of one.
    pub fn new(initial_limit: u32, min_limit: u32, max_limit: u32) -> Self {
        let min_limit = min_limit.max(1);
        let max_limit = max_limit.max(min_limit);
        Self {
            limit: f64::from(initial_limit.clamp(min_limit, max_limit)),
            min_limit: f64::from(min_limit),
            max_limit: f64::from(max_limit),
            uncontended_micros: None,
            window: LatencyWindow::default(),
            window_start: ClockTime::default(),
            is_contended: false,
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Records that a request has to wait. The limit grows only if one waited since the last update.
    pub fn mark_contended(&mut self) {
        self.is_contended = true;
    }

    /// Records the delay of a request that ended at `now`.
    pub fn record(&mut self, now: ClockTime, delay: Duration) {
        self.window.record(now, delay);
        let is_full = self.window.len() >= u64::from(MAX_WINDOW_REQUESTS);
        if is_full || now.since(self.window_start) >= MAX_WINDOW_TIME {
            self.update_limit(now);
        }
    }

    fn update_limit(&mut self, now: ClockTime) {
        let Some(median) = self.window.quantile(0.5) else {
            return;
        };
        let observed = median.as_micros().max(1) as f64;
        let grown = self.uncontended_micros.unwrap_or(observed) * UNCONTENDED_GROWTH_FACTOR;
        let uncontended = grown.min(observed);
        self.uncontended_micros = Some(uncontended);
        let gradient = (MAX_DELAY_RATIO * uncontended / observed).clamp(0.5, 1.0);
        let growth = match self.is_contended {
            true => self.limit.sqrt(),
            false => 0.0,
        };
        let target = self.limit * gradient + growth;
        let smoothed = self.limit + (target - self.limit) * SMOOTHING_FACTOR;
        self.limit = smoothed.clamp(self.min_limit, self.max_limit);
        self.window = LatencyWindow::default();
        self.window_start = now;
        self.is_contended = false;
    }
}
