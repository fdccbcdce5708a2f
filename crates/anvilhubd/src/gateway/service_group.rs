use std::sync::Arc;

use anvilhub_coord::routing::RetryBudget;

use crate::routes::LockCell;

use super::UpstreamNode;

/// The upstreams of one service, and its budget for hedges and retries.
pub(super) struct ServiceGroup {
    pub(super) nodes: Vec<Arc<UpstreamNode>>,
    pub(super) budget: Arc<LockCell<RetryBudget>>,
}
