use serde::{Deserialize, Serialize};

use crate::ids::CallRate;

use super::UpstreamProcess;

/// What an instance passes on to others about the limit of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNote {
    /// The upstream.
    pub upstream: UpstreamProcess,
    /// Its limit in requests a second from all instances together; `None` if it no longer names one.
    pub limit: Option<CallRate>,
    /// Time since an instance heard this from the upstream itself, in milliseconds.
    pub age_ms: u64,
}
