use std::sync::Arc;

use anvilhub_coord::routing::RetryBudget;

use crate::routes::LockCell;

use super::{ServiceSpillover, TrackedUpstream};

/// The known upstreams of one service, its budget for hedges and retries together, and what of it leaves the failure
/// domain.
pub(super) struct ServiceGroup {
    pub(super) upstreams: Vec<Arc<TrackedUpstream>>,
    pub(super) retry_budget: Arc<LockCell<RetryBudget>>,
    pub(super) spillover: Arc<ServiceSpillover>,
}
