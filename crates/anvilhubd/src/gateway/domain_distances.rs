use std::collections::HashMap;
use std::sync::Arc;

use anvilhub_coord::gateway::OpeningTime;
use anvilhub_coord::ids::FailureDomain;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::{GatewaySettings, UpstreamDistance};

/// The times for opening connections that this instance measured, by failure domain.
#[derive(Default)]
pub(super) struct DomainDistances {
    opening_times: LockCell<HashMap<FailureDomain, Arc<LockCell<OpeningTime>>>>,
}

impl DomainDistances {
    /// Returns the distance of upstreams in `domain`.
    pub(super) fn distance(
        &self,
        domain: &FailureDomain,
        settings: &GatewaySettings,
        clock: DaemonClock,
    ) -> UpstreamDistance {
        UpstreamDistance::new(
            domain.clone(),
            settings,
            clock,
            self.opening_time(domain),
            self.opening_time(&settings.failure_domain),
        )
    }

    fn opening_time(&self, domain: &FailureDomain) -> Arc<LockCell<OpeningTime>> {
        self.opening_times
            .with(|times| Arc::clone(times.entry(domain.clone()).or_default()))
    }
}
