use std::time::Duration;

use crate::time::ClockTime;

/// What an attempt states when it asks for scarce capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityClaim {
    /// Priority of its route; 0 is the highest.
    pub priority: u32,
    /// Whether the deployment's routes have different priorities. If not, capacity is granted in the order of arrival.
    pub is_ranked: bool,
    /// Whether routes of a higher priority use the same upstreams, for which a part of the capacity is kept free.
    pub has_higher: bool,
    /// Whether it is a hedge or retry of a sub-request that was sent before.
    pub is_extra: bool,
    /// Time by which the answer must have been received.
    pub deadline: ClockTime,
    /// Maximum time for which grants to higher priorities may delay it, from the first such grant.
    pub max_passed_over: Duration,
}

/// Divisor of a route's latency target that gives the time for which its attempts may be passed over. The rest remains
/// for the answer.
const PASSED_OVER_DIVISOR: u32 = 2;

impl CapacityClaim {
    /// Creates the claim of a first attempt for a route with this priority and latency target, with which routes of a
    /// higher priority share no upstreams.
    pub fn new(priority: u32, is_ranked: bool, latency_target: Duration) -> Self {
        Self {
            priority,
            is_ranked,
            has_higher: false,
            is_extra: false,
            deadline: ClockTime(u64::MAX),
            max_passed_over: latency_target / PASSED_OVER_DIVISOR,
        }
    }
}
