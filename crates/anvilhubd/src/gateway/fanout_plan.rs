use std::time::Duration;

use anvilhub_coord::gateway::GatherCutoff;
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

/// How a request is sent to its upstreams.
pub(super) struct FanoutPlan {
    /// The services that each have a part.
    pub(super) services: Vec<ServiceName>,
    /// Records to keep; `None` when the only answer is passed on as it is.
    pub(super) top: Option<usize>,
    pub(super) repeat: RepeatPolicy,
    /// Most upstreams of a part.
    pub(super) max_attempts: u32,
    pub(super) cut: GatherCutoff,
    /// Usual time of an answer.
    pub(super) usual: Duration,
    /// Time after which a hedge is sent.
    pub(super) hedge_delay: Duration,
    pub(super) arrived: ClockTime,
}
