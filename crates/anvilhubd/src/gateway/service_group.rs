use std::sync::Arc;

use anvilhub_coord::routing::RetryBudget;

use crate::routes::LockCell;

use super::TrackedUpstream;

/// The known upstreams of one service, and its budget for hedges and retries together.
pub(super) struct ServiceGroup {
    pub(super) upstreams: Vec<Arc<TrackedUpstream>>,
    pub(super) retry_budget: Arc<LockCell<RetryBudget>>,
}
