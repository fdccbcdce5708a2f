use std::time::Duration;

use super::{HomeRegions, HostName, RouteName, RouteTarget};
use crate::sheet::RepeatPolicy;

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, unique within a configuration.
    pub name: RouteName,
    /// Host of the requests.
    pub host: HostName,
    /// Prefix of the requests' paths.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat_policy: RepeatPolicy,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_target: Duration,
    /// Maximum number of upstreams of a service or shard that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The regions to which the requests may go.
    pub home_regions: HomeRegions,
    /// Where the requests are sent.
    pub target: RouteTarget,
}
