use std::sync::Arc;

use anvilhub_coord::ids::ShardName;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{HedgePolicy, LatencyWindow, RetryBudget};
use anvilhub_coord::sheet::ServiceSpec;

use crate::admission::ServiceGate;
use crate::daemon_clock::DaemonClock;

use super::{LockCell, ShardRoute, UpstreamRoute};

/// One service, with the state that is kept when the sheet changes.
pub(crate) struct ServiceRoute {
    pub(crate) spec: ServiceSpec,
    pub(crate) shards: Vec<Arc<ShardRoute>>,
    /// Limits the requests that run at the service.
    pub(crate) gate: Arc<ServiceGate>,
    /// Budget for hedges and retries.
    pub(crate) budget: Arc<LockCell<RetryBudget>>,
    /// Latencies of the first attempts at all shards.
    pub(crate) latencies: Arc<LockCell<LatencyWindow>>,
}

impl ServiceRoute {
    /// Creates the route of a service with the state of `previous`, the same service in the previous sheet.
    pub(crate) fn new(
        spec: &ServiceSpec,
        previous: Option<&Self>,
        instance_count: u32,
        clock: DaemonClock,
    ) -> Self {
        let shards = spec
            .shards
            .iter()
            .map(|shard| {
                let previous = previous.and_then(|service| service.shard(&shard.name));
                Arc::new(ShardRoute::new(shard, previous.map(Arc::as_ref), clock))
            })
            .collect();
        let budget = previous
            .filter(|service| service.spec.route.extra_load == spec.route.extra_load)
            .map_or_else(
                || Arc::new(LockCell::new(RetryBudget::new(spec.route.extra_load))),
                |service| Arc::clone(&service.budget),
            );
        Self {
            spec: spec.clone(),
            shards,
            gate: previous.map_or_else(
                || ServiceGate::new(spec, instance_count, clock),
                |service| Arc::clone(&service.gate),
            ),
            budget,
            latencies: previous.map_or_else(Arc::default, |service| Arc::clone(&service.latencies)),
        }
    }

    pub(crate) fn shard(&self, name: &ShardName) -> Option<&Arc<ShardRoute>> {
        self.shards.iter().find(|shard| shard.name == *name)
    }

    /// Returns the shards that overlap `range`, in the sheet's order.
    pub(crate) fn shards_in(&self, range: KeyRange) -> impl Iterator<Item = &Arc<ShardRoute>> {
        self.shards
            .iter()
            .filter(move |shard| !shard.range.intersection(range).is_empty())
    }

    /// Returns the neighbour of the shard that contains `gap`, on the side to which `gap` is nearer. A repartition
    /// moves the boundary between two shards, so the keys of the gap may have moved there.
    pub(crate) fn adjacent_shard(&self, gap: KeyRange) -> Option<&Arc<ShardRoute>> {
        let mut shards = self.shards.iter();
        let index = shards.position(|shard| shard.range.contains(gap.start))?;
        let range = self.shards[index].range;
        let is_upper = range.end.saturating_sub(gap.end) <= gap.start - range.start;
        match is_upper {
            true => self.shards.get(index + 1),
            false => self.shards.get(index.checked_sub(1)?),
        }
    }

    /// Returns the upstreams of all shards.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Arc<UpstreamRoute>> {
        self.shards.iter().flat_map(|shard| &shard.replicas)
    }

    /// Recomputes the hedge delay of each shard.
    pub(crate) fn update_hedge_delays(&self) {
        let policy = HedgePolicy::new(self.spec.route.hedge_quantile);
        let service_window = self.latencies.with(|window| window.clone());
        for shard in &self.shards {
            let delay = shard
                .latencies
                .with(|window| policy.delay(window, &service_window));
            shard.set_hedge_delay(delay);
        }
    }
}
