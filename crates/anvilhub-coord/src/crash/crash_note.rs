use serde::{Deserialize, Serialize};

use crate::ids::{CrashId, RequestFingerprint};

/// What an instance passes on to others about a request that crashed upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The request. Neither its path nor its caller or body can be read from it.
    pub fingerprint: RequestFingerprint,
    /// The crashes that speak against it.
    pub crashes: Vec<NotedCrash>,
    /// Time since an upstream last ran it to its end, in milliseconds; `None` if none did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completion_age_ms: Option<u64>,
}

/// A crash in a [`CrashNote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotedCrash {
    /// Distinguishes the observation from others.
    pub id: CrashId,
    /// Time since the request was sent to the upstream, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the crash was noticed, in milliseconds.
    pub crash_age_ms: u64,
}
