use std::time::Duration;

use anvilhub_coord::gateway::{CallerDelay, CallerLatency, TrafficSplitter};
use anvilhub_coord::routing::{HedgePolicy, LatencyWindow};
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// Hedge delay while too few answers are known, as a fraction of the latency target.
const DEFAULT_HEDGE_FRACTION: f64 = 0.45;
/// Typical latency while too few answers are known, as a fraction of the latency target.
const DEFAULT_TYPICAL_FRACTION: f64 = 0.12;
/// Number of answers from which the typical latency is known.
const MIN_TYPICAL_SAMPLES: u64 = 8;
/// Maximum hedge delay, as a fraction of the latency target.
const MAX_HEDGE_FRACTION: f64 = 0.45;

/// What one instance has observed of a route. It is kept across versions of the configuration.
#[derive(Default)]
pub(super) struct RouteState {
    caller_delay: LockCell<CallerDelay>,
    caller_latency: LockCell<CallerLatency>,
    pub(super) splitter: LockCell<TrafficSplitter>,
    latencies: LockCell<LatencyWindow>,
}

impl RouteState {
    /// Records the time left that a request states. Returns how long its caller had waited before, and the network
    /// latency to reserve for the answer, at most `max_latency`.
    pub(super) fn record_caller_time(
        &self,
        time_left: Duration,
        timeout: Duration,
        max_latency: Duration,
    ) -> (Duration, Duration) {
        let waited = self
            .caller_delay
            .with(|delay| delay.record_time_left(time_left, timeout));
        let latency = self.caller_latency.with(|latency| {
            latency.record_wait(waited, timeout);
            latency.estimate(max_latency)
        });
        (waited, latency)
    }

    /// Records the latency of an answered attempt.
    pub(super) fn record_latency(&self, now: ClockTime, latency: Duration) {
        self.latencies
            .with(|latencies| latencies.record(now, latency));
    }

    /// Returns the typical latency of an answer, and the time after which a hedge is due.
    pub(super) fn typical_and_hedge_delay(
        &self,
        latency_target: Duration,
        hedge_quantile: f64,
    ) -> (Duration, Duration) {
        let policy = HedgePolicy::new(hedge_quantile);
        let (typical, hedge_delay) = self.latencies.with(|latencies| {
            let typical = match latencies.len() {
                0..MIN_TYPICAL_SAMPLES => None,
                _ => latencies.quantile(0.5),
            };
            (typical, policy.delay(latencies, latencies))
        });
        let hedge_delay = hedge_delay.unwrap_or(latency_target.mul_f64(DEFAULT_HEDGE_FRACTION));
        (
            typical.unwrap_or(latency_target.mul_f64(DEFAULT_TYPICAL_FRACTION)),
            hedge_delay.min(latency_target.mul_f64(MAX_HEDGE_FRACTION)),
        )
    }
}
