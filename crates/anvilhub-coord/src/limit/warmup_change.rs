use std::time::Duration;

use crate::ids::CallRate;

use super::UpstreamProcess;

/// The beginning or the end of the warm-up of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupChange {
    /// The upstream.
    pub process: UpstreamProcess,
    /// Time until the end of the warm-up; `None` if it has ended.
    pub left: Option<Duration>,
    /// Number of requests a second that the upstream tolerates while it is cold.
    pub cold_rate: Option<CallRate>,
}
