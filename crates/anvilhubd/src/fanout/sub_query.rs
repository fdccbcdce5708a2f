use std::sync::Arc;

use anvilhub_coord::border::upstream::SubRequest;
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use crate::routes::{ServiceRoute, ShardRoute, UpstreamRoute};

/// What the sub-requests of one request have in common.
pub(crate) struct QueryBody {
    /// Identifier for log lines.
    pub(crate) request_id: RequestId,
    pub(crate) service: Arc<ServiceRoute>,
    pub(crate) urgency: UrgencyClass,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<u64>,
    pub(crate) query: String,
    /// When the answer has to be there.
    pub(crate) deadline: ClockTime,
}

/// One needed sub-request: a range of keys that one of a shard's replicas searches.
#[derive(Clone)]
pub(crate) struct SubQuery {
    /// Identifier towards the gathering request; each attempt has one of its own.
    pub(crate) id: RequestId,
    pub(crate) body: Arc<QueryBody>,
    pub(crate) shard: Arc<ShardRoute>,
    /// Replicas that may search the range.
    pub(crate) candidates: Vec<Arc<UpstreamRoute>>,
    pub(crate) range: KeyRange,
    pub(crate) snapshot: Option<SnapshotId>,
}

impl SubQuery {
    pub(crate) fn message(&self, id: RequestId, deadline_ms: u64) -> SubRequest {
        SubRequest {
            request_id: id,
            service: self.body.service.spec.name.clone(),
            start: self.range.start,
            end: self.range.end,
            snapshot: self.snapshot,
            deadline_ms,
            idempotent: self.body.idempotent,
            key: self.body.key,
            query: self.body.query.clone(),
        }
    }
}
