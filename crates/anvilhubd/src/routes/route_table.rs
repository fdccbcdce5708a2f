use std::collections::BTreeMap;
use std::sync::Arc;

use anvilhub_coord::ids::{ServiceName, SheetDigest, SheetVersion, UpstreamId};
use anvilhub_coord::routing::LeavingSignal;
use anvilhub_coord::sheet::CheckedSheet;
use anvilhub_coord::time::ClockTime;

use crate::daemon_clock::DaemonClock;

use super::{ServiceRoute, UpstreamRoute};

/// The routes of one sheet.
pub(crate) struct RouteTable {
    pub(crate) version: SheetVersion,
    pub(crate) digest: SheetDigest,
    pub(crate) services: BTreeMap<ServiceName, Arc<ServiceRoute>>,
}

impl RouteTable {
    /// Creates the routes of `sheet`. `instance_count` is the number of instances that share the slots of the services.
    /// Services, shards and upstreams that are also in `previous` keep their state.
    pub(crate) fn new(
        sheet: &CheckedSheet,
        previous: Option<&Self>,
        instance_count: u32,
        clock: DaemonClock,
    ) -> Self {
        let services = sheet
            .services
            .values()
            .map(|spec| {
                let previous = previous.and_then(|table| table.services.get(&spec.name));
                let service =
                    ServiceRoute::new(spec, previous.map(Arc::as_ref), instance_count, clock);
                (spec.name.clone(), Arc::new(service))
            })
            .collect();
        Self {
            version: sheet.version,
            digest: sheet.digest,
            services,
        }
    }

    /// Returns the upstreams of all services.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Arc<UpstreamRoute>> {
        self.services
            .values()
            .flat_map(|service| service.upstreams())
    }

    /// Marks the upstream `id` as leaving, in every shard that has it.
    pub(crate) fn mark_leaving(&self, now: ClockTime, id: &UpstreamId, signal: LeavingSignal) {
        let upstreams = self.upstreams();
        for upstream in upstreams.filter(|upstream| upstream.spec.id == *id) {
            upstream.mark_leaving(now, signal);
        }
    }

    /// Returns the upstreams of which this instance tells its peers that they are leaving, with the first signal of each.
    pub(crate) fn announced_upstreams(&self, now: ClockTime) -> Vec<(UpstreamId, LeavingSignal)> {
        self.upstreams()
            .filter_map(|upstream| {
                let announced_signal = upstream
                    .state
                    .with(|state| state.view.announced_signal(now));
                Some((upstream.spec.id.clone(), announced_signal?))
            })
            .collect()
    }
}
