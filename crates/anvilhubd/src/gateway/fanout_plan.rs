use std::time::Duration;

use anvilhub_coord::gateway::GatherCutoff;
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

/// How a request is sent to its upstreams.
pub(super) struct FanoutPlan {
    /// The services that each get a sub-request.
    pub(super) services: Vec<ServiceName>,
    /// Maximum number of records in the gathered answer; `None` if the only answer is returned unchanged.
    pub(super) max_records: Option<usize>,
    pub(super) repeat: RepeatPolicy,
    /// Maximum number of upstreams that one sub-request may be sent to.
    pub(super) max_attempts: u32,
    pub(super) cutoff: GatherCutoff,
    pub(super) typical_latency: Duration,
    /// Time after which a hedge is sent.
    pub(super) hedge_delay: Duration,
    pub(super) arrived_at: ClockTime,
}
