use std::collections::BTreeMap;

use anvilhub_coord::border::upstream::{RefusalReason, SubRequest};
use anvilhub_coord::ids::{RequestId, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// What a replica did since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sub-requests that arrived.
    pub received: u64,
    /// Sub-requests whose work was done.
    pub ran: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Cancel requests that found their sub-request.
    pub cancelled: u64,
    /// Cancel requests that did not.
    pub cancel_missed: u64,
    /// Sub-requests that were lost on silent connections.
    pub silenced: u64,
    /// Answers with a fault.
    pub faulty: u64,
    /// Connections that were accepted.
    pub opened: u64,
    /// Connections that were closed because of the limit.
    pub over_limit: u64,
    /// Most connections open at once.
    pub most_open: u64,
}

/// A non-idempotent sub-request whose work was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectRecord {
    /// The replica that did it.
    pub upstream: UpstreamId,
    /// The sub-request.
    pub request_id: RequestId,
    /// Its service.
    pub service: ServiceName,
    /// Its key.
    pub key: Option<u64>,
    /// Its query text.
    pub query: String,
    /// How often it was done.
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
