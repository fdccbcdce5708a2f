use std::time::Duration;

use crate::ids::CallRate;

use super::UpstreamProcess;

/// What the platform's list and the configuration say about the warm-up of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupReport {
    /// The upstream.
    pub process: UpstreamProcess,
    /// Number of the upstream's report; a later report of the same process has a higher one.
    pub number: u64,
    /// Time for which the upstream stays cold, counted from its report.
    pub left: Duration,
    /// Maximum length of a warm-up of its service; `None` if it is not stated.
    pub max_left: Option<Duration>,
    /// Number of requests a second that the upstream tolerates while it is cold; `None` if no bound is stated.
    pub cold_rate: Option<CallRate>,
}
