use std::time::Duration;

use anvilhub_coord::admission::{AdmissionGate, AdmissionSettings};
use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionPlan, ConnectionShare};
use anvilhub_coord::ids::{ConnectionLimit, SlotCount};
use anvilhub_coord::routing::{
    AttemptKind, EjectionCandidate, EjectionPolicy, HedgePolicy, LatencyWindow, OverflowPolicy,
    OwnerHealth, PickError, ReplicaCandidate, ReplicaChoice, ReplicaPicker, RetryBudget,
    SlotAllowance, SlotQueue, UpstreamView,
};
use anvilhub_coord::sheet::{RepeatPolicy, RoutePolicy};
use anvilhub_coord::time::ClockTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Coordination, OwnerPlan, ServiceLoad, Variant};

/// Maximum number of sub-requests that wait for the slots of one shard.
const SLOT_QUEUE_CAPACITY: usize = 256;
/// Minimum time that a sub-request needs: the round trip and a short service time.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(6);

/// Time until the probe of a connection is answered.
const PROBE_TIME: Duration = Duration::from_millis(3);
/// Number of failure domains of a deployment.
pub(crate) const DOMAIN_COUNT: usize = 3;

/// Returns the failure domain of the instance with this index.
pub(crate) fn domain_of_instance(index: usize) -> usize {
    index % DOMAIN_COUNT
}

/// A simulated entry instance: the decision types that the daemon uses, with the state that the daemon keeps.
pub(crate) struct FakeInstance {
    pub(crate) domain: usize,
    pub(crate) gate: AdmissionGate<usize>,
    /// Slot queue of each shard.
    pub(crate) queues: Vec<SlotQueue<usize>>,
    /// View of each upstream.
    pub(crate) views: Vec<UpstreamView>,
    /// Connections to each upstream.
    pub(crate) ledgers: Vec<ConnectionLedger>,
    /// Latencies of each shard.
    pub(crate) latency_windows: Vec<LatencyWindow>,
    /// Latencies of all shards.
    pub(crate) service_latency_window: LatencyWindow,
    pub(crate) retry_budget: RetryBudget,
    /// Health of each instance as an owner of shards.
    pub(crate) owner_health: Vec<OwnerHealth>,
    /// Counter of each shard from which the baseline derives the replica.
    round_robin_counters: Vec<usize>,
    /// Number of slots of each shard that this instance may use.
    slot_counts: Vec<u32>,
    /// Whether this instance owns each shard.
    is_owned: Vec<bool>,
    opened_connection_count: u64,
    /// Number of replicas of each shard.
    replica_count: usize,
    is_baseline: bool,
    rng: SmallRng,
}

impl FakeInstance {
    pub(crate) fn new(
        index: usize,
        instance_count: usize,
        service: &ServiceLoad,
        plan: &OwnerPlan,
        variant: Variant,
        seed: u64,
    ) -> Self {
        let upstream_count = service.shard_count * service.replica_count;
        let share = ConnectionShare::new(instance_count as u32);
        let limit = ConnectionLimit(service.max_connections);
        let owns_shard = |shard: usize| plan.owner(shard) == index;
        let connections = |shard: usize| match (variant.coordination, variant.is_baseline) {
            (_, true) => service.max_connections,
            (Coordination::Owner, _) if owns_shard(shard) => {
                share.max_owner_connections(limit, index as u32)
            }
            (Coordination::Owner, _) => share.max_bypass_connections(limit, index as u32),
            _ => share.max_direct_connections(limit, index as u32),
        };
        let shard_slots = service.slots_per_replica * service.replica_count as u32;
        let slot_count = |shard: usize| match variant.coordination {
            Coordination::Owner if owns_shard(shard) => shard_slots,
            Coordination::SlotShare => (shard_slots / instance_count as u32).max(1),
            _ => connections(shard) * service.replica_count as u32,
        };
        let slot_counts: Vec<u32> = (0..service.shard_count).map(slot_count).collect();
        let settings = AdmissionSettings::for_share(SlotCount(shard_slots), instance_count as u32);
        Self {
            domain: domain_of_instance(index),
            gate: AdmissionGate::new(settings),
            queues: slot_counts
                .iter()
                .map(|&count| {
                    SlotQueue::new(SlotCount(count), SLOT_QUEUE_CAPACITY, MIN_SERVICE_TIME)
                })
                .collect(),
            views: vec![UpstreamView::default(); upstream_count],
            ledgers: (0..upstream_count)
                .map(|upstream| {
                    ConnectionLedger::new(connections(upstream / service.replica_count))
                })
                .collect(),
            latency_windows: vec![LatencyWindow::default(); service.shard_count],
            service_latency_window: LatencyWindow::default(),
            retry_budget: RetryBudget::new(RoutePolicy::default().extra_load),
            owner_health: vec![OwnerHealth::default(); instance_count],
            round_robin_counters: vec![index; service.shard_count],
            is_owned: (0..service.shard_count)
                .map(|shard| variant.coordination == Coordination::Owner && owns_shard(shard))
                .collect(),
            slot_counts,
            opened_connection_count: 0,
            replica_count: service.replica_count,
            is_baseline: variant.is_baseline,
            rng: SmallRng::seed_from_u64(seed ^ index as u64),
        }
    }

    /// Chooses the upstream for an attempt; `kind` is `None` for a first attempt. `tried_upstreams` holds the upstreams
    /// of earlier attempts, and `domains` the failure domain of every upstream.
    pub(crate) fn choose_upstream(
        &mut self,
        now: ClockTime,
        shard: usize,
        kind: Option<AttemptKind>,
        tried_upstreams: &[usize],
        domains: &[usize],
    ) -> Result<usize, PickError> {
        let first_upstream = shard * self.replica_count;
        if self.is_baseline {
            self.round_robin_counters[shard] += 1;
            return Ok(first_upstream + self.round_robin_counters[shard] % self.replica_count);
        }
        let candidates: Vec<ReplicaCandidate> = (first_upstream
            ..first_upstream + self.replica_count)
            .map(|upstream| ReplicaCandidate {
                load: self.views[upstream].load(now),
                is_local: domains[upstream] == self.domain,
                is_excluded: tried_upstreams.contains(&upstream),
                lacks_connection: self.ledgers[upstream].is_full(),
            })
            .collect();
        if kind.is_none()
            && let Some(upstream) = self.pick_overflow_upstream(now, shard)
        {
            return Ok(upstream);
        }
        let ReplicaChoice { index, .. } =
            ReplicaPicker::default().pick(&candidates, kind, &mut self.rng)?;
        Ok(first_upstream + index)
    }

    /// Acquires a connection. Returns it with the time until the request can be sent on it.
    pub(crate) fn acquire_connection(
        &mut self,
        now: ClockTime,
        upstream: usize,
        repeatability: RepeatPolicy,
        connect_time: Duration,
    ) -> (ConnectionId, Duration) {
        let ledger = &mut self.ledgers[upstream];
        match ledger.acquire(now, repeatability) {
            ConnectionPlan::Use(id) => (id, Duration::ZERO),
            ConnectionPlan::Probe(id) => (id, PROBE_TIME),
            ConnectionPlan::Open | ConnectionPlan::Replace(_) | ConnectionPlan::Wait => {
                self.opened_connection_count += 1;
                let id = ConnectionId(self.opened_connection_count);
                ledger.record_open(now, id);
                (id, connect_time)
            }
        }
    }

    /// Returns the time after which a first attempt is hedged.
    pub(crate) fn hedge_delay(&self, shard: usize) -> Option<Duration> {
        let policy = HedgePolicy::new(RoutePolicy::default().hedge_quantile);
        policy.delay(&self.latency_windows[shard], &self.service_latency_window)
    }

    /// Records a latency, or the time waited for an attempt that was cancelled.
    pub(crate) fn record_latency(&mut self, now: ClockTime, shard: usize, latency: Duration) {
        self.latency_windows[shard].record(now, latency);
        self.service_latency_window.record(now, latency);
    }

    /// Ejects slow upstreams of `shards`.
    pub(crate) fn eject_slow_upstreams(&mut self, now: ClockTime, shards: &[usize]) {
        let upstreams: Vec<usize> = shards
            .iter()
            .flat_map(|shard| shard * self.replica_count..(shard + 1) * self.replica_count)
            .collect();
        let candidates: Vec<EjectionCandidate> = upstreams
            .iter()
            .map(|&upstream| EjectionCandidate {
                shard: upstream / self.replica_count,
                latency: self.views[upstream].latency(),
                sample_count: self.views[upstream].sample_count(),
                failure_count: self.views[upstream].failure_count(),
                is_leaving: false,
                is_ejected: self.views[upstream].is_ejected(now),
                is_on_trial: self.views[upstream].is_on_trial(now),
            })
            .collect();
        for index in EjectionPolicy.select_ejections(&candidates) {
            self.views[upstreams[index]].eject(now);
        }
    }

    /// Takes over the slots and connections of a shard whose previous owner was removed. `index` is the index of this
    /// instance.
    pub(crate) fn take_over_shard(
        &mut self,
        shard: usize,
        service: &ServiceLoad,
        index: usize,
        instance_count: usize,
    ) {
        self.is_owned[shard] = true;
        self.slot_counts[shard] = service.slots_per_replica * service.replica_count as u32;
        let share = ConnectionShare::new(instance_count as u32);
        let connections =
            share.max_owner_connections(ConnectionLimit(service.max_connections), index as u32);
        for upstream in shard * self.replica_count..(shard + 1) * self.replica_count {
            self.ledgers[upstream].set_max_connections(connections);
        }
    }

    /// Returns the number of sub-requests to `shard` that this instance may have in flight, at least one.
    ///
    /// It counts the replicas that are neither ejected nor on trial. If there are any and this instance owns the shard,
    /// it also counts slow, ejected replicas as the overflow policy allows.
    pub(crate) fn usable_slots(&self, now: ClockTime, shard: usize) -> SlotCount {
        let first_upstream = shard * self.replica_count;
        let usable = (first_upstream..first_upstream + self.replica_count)
            .map(|upstream| &self.views[upstream])
            .filter(|view| !view.is_ejected(now) && !view.is_on_trial(now))
            .count() as u32;
        let slots =
            SlotCount((self.slot_counts[shard] * usable / self.replica_count as u32).max(1));
        match self.is_owned[shard] {
            true if usable > 0 => {
                let waiting = self.queues[shard].waiting_count();
                let (_, ejected) = self.ejected_slow_replicas(now, shard);
                let allowed =
                    SlotAllowance::default().max_in_flight(slots, self.typical_latency(shard));
                let extra = self
                    .overflow_policy(shard)
                    .extra_slots(waiting, slots, &ejected);
                SlotCount(allowed.get() + extra)
            }
            true => SlotAllowance::default().max_in_flight(slots, self.typical_latency(shard)),
            false => slots,
        }
    }

    /// Returns the slow, ejected replica that an owner uses while all other replicas are busy. Returns `None` if this
    /// instance does not own the shard or should use another replica.
    fn pick_overflow_upstream(&self, now: ClockTime, shard: usize) -> Option<usize> {
        let first_upstream = shard * self.replica_count;
        let healthy: Vec<&UpstreamView> = self.views
            [first_upstream..first_upstream + self.replica_count]
            .iter()
            .filter(|view| !view.is_ejected(now) && !view.is_on_trial(now))
            .collect();
        if !self.is_owned[shard] || healthy.is_empty() {
            return None;
        }
        let busy = healthy.iter().map(|view| view.in_flight()).sum();
        let slots =
            SlotCount(self.slot_counts[shard] * healthy.len() as u32 / self.replica_count as u32);
        let allowed = SlotAllowance::default().max_in_flight(slots, self.typical_latency(shard));
        let (upstreams, in_flight) = self.ejected_slow_replicas(now, shard);
        self.overflow_policy(shard)
            .pick_ejected(busy, allowed, &in_flight)
            .map(|index| upstreams[index])
    }

    /// Returns the ejected replicas without failures and their numbers of attempts in flight.
    fn ejected_slow_replicas(&self, now: ClockTime, shard: usize) -> (Vec<usize>, Vec<u32>) {
        let first_upstream = shard * self.replica_count;
        (first_upstream..first_upstream + self.replica_count)
            .map(|upstream| (upstream, &self.views[upstream]))
            .filter(|(_, view)| view.is_ejected(now) && view.failure_count() == 0)
            .map(|(upstream, view)| (upstream, view.in_flight()))
            .unzip()
    }

    fn overflow_policy(&self, shard: usize) -> OverflowPolicy {
        OverflowPolicy::new(SlotCount(
            self.slot_counts[shard] / self.replica_count as u32,
        ))
    }

    /// Returns the median latency of `shard`, or zero if there are no samples.
    fn typical_latency(&self, shard: usize) -> Duration {
        let window = &self.latency_windows[shard];
        window.quantile(0.5).unwrap_or_default()
    }
}
