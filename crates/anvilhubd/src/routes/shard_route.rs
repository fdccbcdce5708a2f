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

use crate::daemon_clock::DaemonClock;

use super::{LockCell, ShardQueue, UpstreamRoute};

/// One shard of a service, with the state that is kept when the sheet changes.
pub(crate) struct ShardRoute {
    pub(crate) name: ShardName,
    pub(crate) range: KeyRange,
    pub(crate) replicas: Vec<Arc<UpstreamRoute>>,
    pub(crate) queue: Arc<ShardQueue>,
    /// Latencies of the first attempts.
    pub(crate) latencies: Arc<LockCell<LatencyWindow>>,
    /// Delay of a hedge in microseconds, zero for no hedges. It is recomputed periodically, because computing a
    /// quantile for each sub-request would cost too much.
    hedge_delay_us: Arc<AtomicU64>,
    /// Peer address of the instance that owns the shard, `None` when it is this one.
    owner: Arc<LockCell<Option<SocketAddr>>>,
}

impl ShardRoute {
    /// Creates the route of a shard with the state of `previous`, the same shard in the previous sheet.
    pub(crate) fn new(spec: &ShardSpec, previous: Option<&Self>, clock: DaemonClock) -> Self {
        let find_previous = |id| {
            let mut replicas = previous.iter().flat_map(|shard| &shard.replicas);
            replicas.find(|replica| replica.spec.id == id).cloned()
        };
        let replicas = spec
            .replicas
            .iter()
            .map(|replica| {
                let previous = find_previous(replica.id.clone());
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
            hedge_delay_us: previous
                .map_or_else(Arc::default, |shard| Arc::clone(&shard.hedge_delay_us)),
            owner: previous.map_or_else(Arc::default, |shard| Arc::clone(&shard.owner)),
        }
    }

    /// Returns the replicas from which a snapshot may be chosen, with the snapshots that each holds.
    ///
    /// Leaving replicas are excluded. Ejected replicas, and replicas that only a health or load report declares as
    /// leaving, are excluded as long as other replicas remain.
    pub(crate) fn snapshot_holding(&self, now: ClockTime) -> ShardHolding {
        let loads: Vec<_> = self
            .replicas
            .iter()
            .map(|replica| (replica, replica.current_load(now)))
            .filter(|(_, load)| !load.is_leaving)
            .collect();
        let has_staying = loads.iter().any(|(_, load)| !load.is_reported_leaving);
        let loads: Vec<_> = loads
            .into_iter()
            .filter(|(_, load)| !has_staying || !load.is_reported_leaving)
            .collect();
        let has_healthy = loads.iter().any(|(_, load)| !load.is_ejected);
        let replicas = loads
            .iter()
            .filter(|(_, load)| !has_healthy || !load.is_ejected)
            .map(|(replica, _)| ReplicaHolding {
                upstream: replica.spec.id.clone(),
                held_snapshots: replica.held_snapshots(),
            })
            .collect();
        ShardHolding {
            range: self.range,
            replicas,
        }
    }

    /// Returns the slots of the healthy replicas that are not leaving, or of all that are not leaving when none is
    /// healthy.
    pub(crate) fn usable_slots(&self, now: ClockTime) -> SlotCount {
        let (mut healthy, mut staying) = (0, 0);
        for replica in &self.replicas {
            let (is_leaving, is_healthy) = replica.state.with(|state| {
                let view = &state.view;
                let is_healthy = !view.is_ejected(now) && !view.is_on_trial(now);
                (view.leaving_signal().is_some(), is_healthy)
            });
            if is_leaving {
                continue;
            }
            let slots = replica.spec.slots.get();
            staying += slots;
            healthy += if is_healthy { slots } else { 0 };
        }
        match healthy {
            0 => SlotCount(staying.max(1)),
            healthy => SlotCount(healthy),
        }
    }

    /// Returns the replicas that may cover `range` by their last reports, or all replicas when none does: during
    /// a repartition some have already handed keys over.
    pub(crate) fn replicas_covering(&self, range: KeyRange) -> Vec<Arc<UpstreamRoute>> {
        let covers = |replica: &&Arc<UpstreamRoute>| {
            let reported = replica.reported_range();
            reported.is_none_or(|reported| reported.covers(range))
        };
        let covering: Vec<_> = self.replicas.iter().filter(covers).cloned().collect();
        match covering.is_empty() {
            true => self.replicas.clone(),
            false => covering,
        }
    }

    /// Returns the median latency of first attempts, `None` while none is recorded.
    pub(crate) fn typical_latency(&self) -> Option<Duration> {
        self.latencies.with(|latencies| latencies.quantile(0.5))
    }

    /// Returns the peer address of the instance that owns the shard, `None` when it is this one.
    pub(crate) fn owner(&self) -> Option<SocketAddr> {
        self.owner.with(|owner| *owner)
    }

    /// Sets the peer address of the instance that owns the shard, `None` when it is this one.
    pub(crate) fn set_owner(&self, address: Option<SocketAddr>) {
        self.owner.with(|owner| *owner = address);
    }

    /// Returns the delay after which an attempt is hedged, `None` when it is not.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        match self.hedge_delay_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    /// Sets the delay after which an attempt is hedged, `None` for no hedges.
    pub(crate) fn set_hedge_delay(&self, delay: Option<Duration>) {
        let micros = delay.map_or(0, |delay| delay.as_micros() as u64);
        self.hedge_delay_us.store(micros, Ordering::Relaxed);
    }
}
