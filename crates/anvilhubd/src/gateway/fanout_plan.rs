use std::time::Duration;

use anvilhub_coord::gateway::{CapacityClaim, GatherCutoff, HomeRegions};
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

/// Which upstreams a request is sent to, how often, and how long their answers are awaited.
pub(super) struct FanoutPlan {
    /// The services that each get a sub-request.
    pub(super) services: Vec<ServiceName>,
    /// The regions to which the request may go.
    pub(super) home_regions: HomeRegions,
    /// Maximum number of records in the gathered answer; `None` if the only answer is returned unchanged.
    pub(super) max_records: Option<usize>,
    /// Whether a sub-request may be sent again after an attempt that may have run.
    pub(super) repeat_policy: RepeatPolicy,
    /// Maximum number of attempts that may reach an upstream, for each sub-request.
    pub(super) max_attempts: u32,
    /// Whether another instance may continue the request if this one is cut off from the upstreams.
    pub(super) may_move: bool,
    /// When the request ends without the sub-requests that are still unanswered.
    pub(super) cutoff: GatherCutoff,
    /// Median latency of the route's recent answers, or an estimate while too few are known.
    pub(super) typical_latency: Duration,
    /// Time after an attempt is sent at which a hedge is due.
    pub(super) hedge_delay: Duration,
    /// By what first attempts are compared with others that wait for a connection; its deadline is not used.
    pub(super) claim: CapacityClaim,
    /// When the caller's request arrived at the tier, by the clock of this instance.
    pub(super) arrived_at: ClockTime,
}
