use std::time::Duration;

use super::{HostName, RouteName, RouteTarget};
use crate::sheet::RepeatPolicy;

/// A route: which requests it takes and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, unique within a configuration.
    pub name: RouteName,
    /// Host of the requests.
    pub host: HostName,
    /// Beginning of the path of the requests.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_target: Duration,
    /// Upstreams of a service or shard that one request may be sent to.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: u32,
    /// Where the requests go.
    pub target: RouteTarget,
}
