use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::gather::{ReplicaHolding, ShardHolding};
use anvilhub_coord::ids::{ShardName, SlotCount};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::LatencyWindow;
use anvilhub_coord::sheet::ShardSpec;
use anvilhub_coord::time::ClockTime;

use crate::clock::DaemonClock;

use super::{RouteCell, ShardQueue, UpstreamRoute};

/// One shard of a service, with state that outlives a change of the sheet.
pub(crate) struct ShardRoute {
    pub(crate) name: ShardName,
    pub(crate) range: KeyRange,
    pub(crate) replicas: Vec<Arc<UpstreamRoute>>,
    pub(crate) queue: Arc<ShardQueue>,
    /// Latencies of first attempts.
    pub(crate) latencies: Arc<RouteCell<LatencyWindow>>,
    /// Delay of a hedge in microseconds, zero for none. Computed from time to time, since a quantile costs
    /// more than a sub-request should pay.
    hedge_delay: Arc<AtomicU64>,
    owner: Arc<RouteCell<Option<SocketAddr>>>,
}

impl ShardRoute {
    pub(crate) fn new(spec: &ShardSpec, previous: Option<&Self>, clock: DaemonClock) -> Self {
        let known = |id| {
            let mut replicas = previous.iter().flat_map(|shard| &shard.replicas);
            replicas.find(|replica| replica.spec.id == id).cloned()
        };
        let replicas = spec
            .replicas
            .iter()
            .map(|replica| {
                let previous = known(replica.id.clone());
                Arc::new(UpstreamRoute::new(replica, previous.as_deref()))
            })
            .collect();
        Self {
            name: spec.name.clone(),
            range: spec.range,
            replicas,
            queue: previous.map_or_else(
                || ShardQueue::new(spec.slots(), clock),
                |shard| Arc::clone(&shard.queue),
            ),
            latencies: previous.map_or_else(Arc::default, |shard| Arc::clone(&shard.latencies)),
            hedge_delay: previous.map_or_else(Arc::default, |shard| Arc::clone(&shard.hedge_delay)),
            owner: previous.map_or_else(Arc::default, |shard| Arc::clone(&shard.owner)),
        }
    }

    /// The replicas that a snapshot choice may count on. When every one that stays is ejected, all count.
    pub(crate) fn holding(&self, now: ClockTime) -> ShardHolding {
        let loads: Vec<_> = self
            .replicas
            .iter()
            .map(|replica| (replica, replica.load(now)))
            .filter(|(_, load)| !load.is_leaving)
            .collect();
        let certain = loads.iter().any(|(_, load)| !load.is_reported_leaving);
        let loads: Vec<_> = loads
            .into_iter()
            .filter(|(_, load)| !certain || !load.is_reported_leaving)
            .collect();
        let healthy = loads.iter().any(|(_, load)| !load.is_ejected);
        let replicas = loads
            .iter()
            .filter(|(_, load)| !healthy || !load.is_ejected)
            .map(|(replica, _)| ReplicaHolding {
                upstream: replica.spec.id.clone(),
                held_snapshots: replica.held(),
            })
            .collect();
        ShardHolding {
            range: self.range,
            replicas,
        }
    }

    /// Slots of the replicas that take requests; those of all that stay when every one is ejected.
    pub(crate) fn usable_slots(&self, now: ClockTime) -> SlotCount {
        let (mut sound, mut staying) = (0, 0);
        for replica in &self.replicas {
            let (is_leaving, is_sound) = replica.state.with(|state| {
                let view = &state.view;
                let is_sound = !view.is_ejected(now) && !view.is_on_trial(now);
                (view.leaving_signal().is_some(), is_sound)
            });
            if is_leaving {
                continue;
            }
            let slots = replica.spec.slots.get();
            staying += slots;
            sound += if is_sound { slots } else { 0 };
        }
        match sound {
            0 => SlotCount(staying.max(1)),
            sound => SlotCount(sound),
        }
    }

    /// The replicas that cover `range` as far as is known, and every one when none does: during a repartition
    /// some have given keys away already.
    pub(crate) fn covering(&self, range: KeyRange) -> Vec<Arc<UpstreamRoute>> {
        let covers = |replica: &&Arc<UpstreamRoute>| {
            let known = replica.reported_range();
            known.is_none_or(|known| known.covers(range))
        };
        let covering: Vec<_> = self.replicas.iter().filter(covers).cloned().collect();
        match covering.is_empty() {
            true => self.replicas.clone(),
            false => covering,
        }
    }

    /// Median latency of first attempts.
    pub(crate) fn usual_latency(&self) -> Option<Duration> {
        self.latencies.with(|latencies| latencies.quantile(0.5))
    }

    /// Peer address of the instance that queues for the shard, `None` when it is this one.
    pub(crate) fn owner(&self) -> Option<SocketAddr> {
        self.owner.with(|owner| *owner)
    }

    pub(crate) fn set_owner(&self, address: Option<SocketAddr>) {
        self.owner.with(|owner| *owner = address);
    }

    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        match self.hedge_delay.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    pub(crate) fn set_hedge_delay(&self, delay: Option<Duration>) {
        let micros = delay.map_or(0, |delay| delay.as_micros() as u64);
        self.hedge_delay.store(micros, Ordering::Relaxed);
    }
}
