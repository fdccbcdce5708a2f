use std::sync::Arc;

use anvilhub_coord::ids::RequestId;

use crate::routes::ShardRoute;

use super::SubOutcome;

/// The end of one needed sub-request, run here or by its owner.
pub(super) struct PieceEnd {
    pub(super) id: RequestId,
    pub(super) shard: Arc<ShardRoute>,
    pub(super) outcome: SubOutcome,
}
