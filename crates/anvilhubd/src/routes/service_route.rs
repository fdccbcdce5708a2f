use std::sync::Arc;

use anvilhub_coord::ids::ShardName;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{HedgePolicy, LatencyWindow, RetryBudget};
use anvilhub_coord::sheet::ServiceSpec;

use crate::admission::ServiceGate;
use crate::clock::DaemonClock;

use super::{RouteCell, ShardRoute, UpstreamRoute};

/// One service, with state that outlives a change of the sheet.
pub(crate) struct ServiceRoute {
    pub(crate) spec: ServiceSpec,
    pub(crate) shards: Vec<Arc<ShardRoute>>,
    pub(crate) gate: Arc<ServiceGate>,
    pub(crate) budget: Arc<RouteCell<RetryBudget>>,
    /// Latencies of first attempts over all shards.
    pub(crate) latencies: Arc<RouteCell<LatencyWindow>>,
}

impl ServiceRoute {
    pub(crate) fn new(
        spec: &ServiceSpec,
        previous: Option<&Self>,
        entries: u32,
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
                || Arc::new(RouteCell::new(RetryBudget::new(spec.route.extra_load))),
                |service| Arc::clone(&service.budget),
            );
        Self {
            spec: spec.clone(),
            shards,
            gate: previous.map_or_else(
                || ServiceGate::new(spec, entries, clock),
                |service| Arc::clone(&service.gate),
            ),
            budget,
            latencies: previous.map_or_else(Arc::default, |service| Arc::clone(&service.latencies)),
        }
    }

    pub(crate) fn shard(&self, name: &ShardName) -> Option<&Arc<ShardRoute>> {
        self.shards.iter().find(|shard| shard.name == *name)
    }

    /// The shards that share keys with `range`, in the sheet's order.
    pub(crate) fn shards_in(&self, range: KeyRange) -> impl Iterator<Item = &Arc<ShardRoute>> {
        self.shards
            .iter()
            .filter(move |shard| !shard.range.intersection(range).is_empty())
    }

    /// The shard next to the one that `gap` lies in, on the nearer side: a repartition moves a border.
    pub(crate) fn neighbour(&self, gap: KeyRange) -> Option<&Arc<ShardRoute>> {
        let mut shards = self.shards.iter();
        let index = shards.position(|shard| shard.range.contains(gap.start))?;
        let range = self.shards[index].range;
        let is_upper = range.end.saturating_sub(gap.end) <= gap.start - range.start;
        match is_upper {
            true => self.shards.get(index + 1),
            false => self.shards.get(index.checked_sub(1)?),
        }
    }

    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Arc<UpstreamRoute>> {
        self.shards.iter().flat_map(|shard| &shard.replicas)
    }

    /// Computes when hedges of each shard are due.
    pub(crate) fn refresh_hedges(&self) {
        let policy = HedgePolicy::new(self.spec.route.hedge_quantile);
        let whole = self.latencies.with(|window| window.clone());
        for shard in &self.shards {
            let delay = shard.latencies.with(|window| policy.delay(window, &whole));
            shard.set_hedge_delay(delay);
        }
    }
}
