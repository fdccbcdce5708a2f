use std::time::Duration;

use super::RouteMode;

/// How sub-requests of a service are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Whether the shard's owner or each instance by itself queues sub-requests for the slots of a shard.
    pub mode: RouteMode,
    /// Maximum ratio of hedges and retries to required sub-requests, from 0 to 1.
    pub extra_load: f64,
    /// Quantile of the latency after which a hedge is sent, between 0 and 1.
    pub hedge_quantile: f64,
    /// Deadline for requests that do not specify one.
    pub default_deadline: Duration,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            mode: RouteMode::Owner,
            extra_load: 0.05,
            hedge_quantile: 0.97,
            default_deadline: Duration::from_millis(1_000),
        }
    }
}
