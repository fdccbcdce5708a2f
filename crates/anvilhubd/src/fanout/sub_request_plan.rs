use std::sync::Arc;

use anvilhub_coord::border::upstream::SubRequest;
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::KeyRange;

use crate::routes::{ShardRoute, UpstreamRoute};

use super::{FanoutRequest, SendMark};

/// A planned sub-request: a range of keys that one of a shard's replicas searches.
#[derive(Clone)]
pub(crate) struct SubRequestPlan {
    /// Identifier within the request that gathers the answers. Each attempt has an identifier of its own.
    pub(crate) id: RequestId,
    pub(crate) request: Arc<FanoutRequest>,
    pub(crate) shard: Arc<ShardRoute>,
    /// Replicas that may search the range.
    pub(crate) candidates: Vec<Arc<UpstreamRoute>>,
    pub(crate) range: KeyRange,
    pub(crate) snapshot: Option<SnapshotId>,
    pub(crate) send_mark: SendMark,
}

impl SubRequestPlan {
    /// Builds the message that asks an upstream or an owner to run the sub-request.
    pub(crate) fn to_message(&self, id: RequestId, deadline_ms: u64) -> SubRequest {
        SubRequest {
            request_id: id,
            service: self.request.service.spec.name.clone(),
            start: self.range.start,
            end: self.range.end,
            snapshot: self.snapshot,
            deadline_ms,
            idempotent: self.request.is_idempotent,
            key: self.request.key,
            query: self.request.query.clone(),
        }
    }
}
