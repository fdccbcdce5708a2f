use std::time::Duration;

use super::LatencyWindow;

/// Samples below which a quantile says too little to hedge on.
const LEAST_SAMPLES: u64 = 50;
/// Shortest delay: below it a hedge races answers that are already on their way.
const LEAST_DELAY: Duration = Duration::from_millis(2);

/// When a sub-request of a service is late enough for a hedge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    quantile: f64,
}

impl HedgePolicy {
    /// A policy that hedges after the latency `quantile`, between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.5, 0.999),
        }
    }

    /// Time after sending at which a hedge is due.
    ///
    /// `shard` and `service` hold the latencies of answers to first attempts. The service's quantile is used
    /// while the shard has few samples; without samples there is no hedge.
    pub fn delay(&self, shard: &LatencyWindow, service: &LatencyWindow) -> Option<Duration> {
        let window = match (shard.len() >= LEAST_SAMPLES, service.len() >= LEAST_SAMPLES) {
            (true, _) => shard,
            (false, true) => service,
            (false, false) => return None,
        };
        let delay = window.quantile(self.quantile)?;
        Some(delay.max(LEAST_DELAY))
    }
}
