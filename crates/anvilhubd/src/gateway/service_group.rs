use std::sync::Arc;

use anvilhub_coord::gateway::{HomeRegions, RegionMap};
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

impl ServiceGroup {
    /// Returns the group without the upstreams that requests with these home regions must not reach.
    pub(super) fn within(
        self: &Arc<Self>,
        home_regions: &HomeRegions,
        map: &RegionMap,
    ) -> Arc<Self> {
        if !home_regions.are_restricted() {
            return Arc::clone(self);
        }
        let is_allowed = |upstream: &&Arc<TrackedUpstream>| {
            home_regions.allow_upstreams(&upstream.record.failure_domain, map)
        };
        Arc::new(Self {
            upstreams: self.upstreams.iter().filter(is_allowed).cloned().collect(),
            retry_budget: Arc::clone(&self.retry_budget),
            spillover: Arc::clone(&self.spillover),
        })
    }
}
