use std::sync::Arc;

use anvilhub_coord::ids::RequestId;

use crate::routes::ShardRoute;

use super::SubRequestOutcome;

/// Result of one sub-request, which was run by this instance or by the owner of its shard.
pub(super) struct SubRequestResult {
    pub(super) id: RequestId,
    pub(super) shard: Arc<ShardRoute>,
    pub(super) outcome: SubRequestOutcome,
}
