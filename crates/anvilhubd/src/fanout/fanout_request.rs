use std::sync::Arc;

use anvilhub_coord::ids::{RequestFingerprint, RequestId};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use crate::routes::ServiceRoute;

/// The properties of a caller's request that all its sub-requests share.
pub(crate) struct FanoutRequest {
    /// Identifier for log lines.
    pub(crate) request_id: RequestId,
    /// What makes two requests the same, whichever instance sends their sub-requests.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) service: Arc<ServiceRoute>,
    pub(crate) urgency: UrgencyClass,
    pub(crate) is_idempotent: bool,
    /// The single key that the request touches; `None` if it touches the whole key range.
    pub(crate) key: Option<u64>,
    /// Passed to the upstreams unchanged.
    pub(crate) query: String,
    /// Time by which the answer, complete or partial, has to be sent.
    pub(crate) deadline: ClockTime,
}
