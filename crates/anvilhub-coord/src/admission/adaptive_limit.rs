use std::time::Duration;

use crate::routing::LatencyWindow;
use crate::time::ClockTime;

/// Requests that end before the limit is reconsidered.
const WINDOW_REQUESTS: u32 = 20;
/// Longest time between reconsiderations while requests end.
const WINDOW_TIME: Duration = Duration::from_millis(200);
/// Delay against the uncontended one up to which the limit may grow. Below 2, a slot would idle between
/// the end of one request and the arrival of the next.
const TOLERANCE: f64 = 2.0;
/// Part of a change that is applied at once, so that one slow window does not halve the limit.
const SMOOTHING: f64 = 0.3;
/// Growth of the uncontended delay per window, so that it follows a service that becomes slower for good.
const DRIFT: f64 = 1.002;

/// A concurrency limit that follows the delay of the requests it admits.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    least: f64,
    greatest: f64,
    uncontended_micros: Option<f64>,
    window: LatencyWindow,
    started: ClockTime,
    contended: bool,
}

impl AdaptiveLimit {
    /// A limit that starts at `initial` and stays within `least..=greatest`, at least one.
    pub fn new(initial: u32, least: u32, greatest: u32) -> Self {
        let least = least.max(1);
        let greatest = greatest.max(least);
        Self {
            limit: f64::from(initial.clamp(least, greatest)),
            least: f64::from(least),
            greatest: f64::from(greatest),
            uncontended_micros: None,
            window: LatencyWindow::default(),
            started: ClockTime::default(),
            contended: false,
        }
    }

    /// Requests that may run at once.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Notes that a request had to wait: without one, the limit has no reason to grow.
    pub fn mark_contended(&mut self) {
        self.contended = true;
    }

    /// Adds the delay of one request that ended at `now`.
    pub fn record(&mut self, now: ClockTime, delay: Duration) {
        self.window.record(now, delay);
        let full = self.window.len() >= u64::from(WINDOW_REQUESTS);
        if full || now.since(self.started) >= WINDOW_TIME {
            self.reconsider(now);
        }
    }

    fn reconsider(&mut self, now: ClockTime) {
        let Some(median) = self.window.quantile(0.5) else {
            return;
        };
        let observed = median.as_micros().max(1) as f64;
        let drifted = self.uncontended_micros.unwrap_or(observed) * DRIFT;
        let uncontended = drifted.min(observed);
        self.uncontended_micros = Some(uncontended);
        let gradient = (TOLERANCE * uncontended / observed).clamp(0.5, 1.0);
        let growth = match self.contended {
            true => self.limit.sqrt(),
            false => 0.0,
        };
        let target = self.limit * gradient + growth;
        let smoothed = self.limit + (target - self.limit) * SMOOTHING;
        self.limit = smoothed.clamp(self.least, self.greatest);
        self.window = LatencyWindow::default();
        self.started = now;
        self.contended = false;
    }
}
