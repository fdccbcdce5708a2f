use anvilhub_coord::border::upstream::SubRequest;
use anvilhub_coord::ids::{RequestId, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// A non-idempotent sub-request that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectRecord {
    /// The replica on which it ran.
    pub upstream: UpstreamId,
    /// Request id of the sub-request.
    pub request_id: RequestId,
    /// Service of the sub-request.
    pub service: ServiceName,
    /// Key of the sub-request.
    pub key: Option<u64>,
    /// Query text of the sub-request.
    pub query: String,
    /// How often it took effect.
    pub count: u64,
}

impl EffectRecord {
    pub(crate) fn new(upstream: &UpstreamId, request: &SubRequest) -> Self {
        Self {
            upstream: upstream.clone(),
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            key: request.key,
            query: request.query.clone(),
            count: 0,
        }
    }
}
