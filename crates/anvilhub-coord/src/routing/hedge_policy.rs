use std::time::Duration;

use super::LatencyWindow;

/// Minimum number of samples for a reliable quantile.
const MIN_SAMPLES: u64 = 50;
/// Minimum delay. An earlier hedge would compete with answers that are already on the network.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Decides how long to wait for an answer before a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    quantile: f64,
}

impl HedgePolicy {
    /// Creates a policy that hedges after the given `quantile` of the latency, which is limited to 0.5 to 0.999.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.5, 0.999),
        }
    }

    /// Returns the time from sending a sub-request to sending its hedge.
    ///
    /// `shard` and `service` hold the latencies of answers to first attempts. The latencies of the service are used
    /// while the shard has fewer than 50 samples. Returns `None`, for no hedge, if the service has too few as well.
    pub fn delay(&self, shard: &LatencyWindow, service: &LatencyWindow) -> Option<Duration> {
        let window = match (shard.len() >= MIN_SAMPLES, service.len() >= MIN_SAMPLES) {
            (true, _) => shard,
            (false, true) => service,
            (false, false) => return None,
        };
        let delay = window.quantile(self.quantile)?;
        Some(delay.max(MIN_DELAY))
    }
}
