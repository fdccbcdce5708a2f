use std::time::Duration;

use anvilhub_coord::admission::{AdmissionGate, AdmissionSettings};
use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionPlan, ConnectionShare};
use anvilhub_coord::ids::{ConnectionLimit, SlotCount};
use anvilhub_coord::routing::{
    AttemptKind, EjectionCandidate, EjectionPolicy, HedgePolicy, LatencyWindow, OwnerHealth,
    PickError, ReplicaCandidate, ReplicaChoice, ReplicaPicker, RetryBudget, SlotAllowance,
    SlotOverflow, SlotQueue, UpstreamView,
};
use anvilhub_coord::sheet::{RepeatPolicy, RoutePolicy};
use anvilhub_coord::time::ClockTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Coordination, Desk, OwnerPlan, Variant};

/// Sub-requests that may wait for the slots of one shard.
const SLOT_QUEUE_CAPACITY: usize = 256;
/// Least time that a sub-request needs: the round trip and a short service time.
const LEAST_TIME: Duration = Duration::from_millis(6);

/// Failure domain of the entry `rank`.
pub(crate) fn domain_of(rank: usize) -> usize {
    rank % 3
}

/// The decisions of one entry instance, as the daemon holds them.
pub(crate) struct FakeEntry {
    pub(crate) domain: usize,
    pub(crate) gate: AdmissionGate<usize>,
    pub(crate) queues: Vec<SlotQueue<usize>>,
    pub(crate) views: Vec<UpstreamView>,
    pub(crate) ledgers: Vec<ConnectionLedger>,
    pub(crate) windows: Vec<LatencyWindow>,
    pub(crate) service_window: LatencyWindow,
    pub(crate) budget: RetryBudget,
    pub(crate) owners: Vec<OwnerHealth>,
    turns: Vec<usize>,
    slots: Vec<u32>,
    owned: Vec<bool>,
    connections_opened: u64,
    replicas: usize,
    baseline: bool,
    rng: SmallRng,
}

impl FakeEntry {
    pub(crate) fn new(
        rank: usize,
        entries: usize,
        desk: &Desk,
        plan: &OwnerPlan,
        variant: Variant,
        seed: u64,
    ) -> Self {
        let count = desk.shards * desk.replicas;
        let share = ConnectionShare::new(entries as u32);
        let limit = ConnectionLimit(desk.connections);
        let owned = |shard: usize| plan.owner(shard) == rank;
        let connections = |shard: usize| match (variant.coordination, variant.baseline) {
            (_, true) => desk.connections,
            (Coordination::Owner, _) if owned(shard) => share.owner_connections(limit, rank as u32),
            (Coordination::Owner, _) => share.bypass_connections(limit, rank as u32),
            _ => share.direct_connections(limit, rank as u32),
        };
        let shard_slots = desk.slots * desk.replicas as u32;
        let slots = |shard: usize| match variant.coordination {
            Coordination::Owner if owned(shard) => shard_slots,
            Coordination::SlotShare => (shard_slots / entries as u32).max(1),
            _ => connections(shard) * desk.replicas as u32,
        };
        let slots: Vec<u32> = (0..desk.shards).map(slots).collect();
        let settings = AdmissionSettings::for_share(SlotCount(shard_slots), entries as u32);
        Self {
            domain: domain_of(rank),
            gate: AdmissionGate::new(settings),
            queues: slots
                .iter()
                .map(|&slots| SlotQueue::new(SlotCount(slots), SLOT_QUEUE_CAPACITY, LEAST_TIME))
                .collect(),
            views: vec![UpstreamView::default(); count],
            ledgers: (0..count)
                .map(|upstream| ConnectionLedger::new(connections(upstream / desk.replicas)))
                .collect(),
            windows: vec![LatencyWindow::default(); desk.shards],
            service_window: LatencyWindow::default(),
            budget: RetryBudget::new(RoutePolicy::default().extra_load),
            owners: vec![OwnerHealth::default(); entries],
            turns: vec![rank; desk.shards],
            owned: (0..desk.shards)
                .map(|shard| variant.coordination == Coordination::Owner && owned(shard))
                .collect(),
            slots,
            connections_opened: 0,
            replicas: desk.replicas,
            baseline: variant.baseline,
            rng: SmallRng::seed_from_u64(seed ^ rank as u64),
        }
    }

    /// Chooses the upstream for an attempt; `domains` holds the failure domain of every upstream.
    pub(crate) fn choose(
        &mut self,
        now: ClockTime,
        shard: usize,
        kind: Option<AttemptKind>,
        tried: &[usize],
        domains: &[usize],
    ) -> Result<usize, PickError> {
        let first = shard * self.replicas;
        if self.baseline {
            self.turns[shard] += 1;
            return Ok(first + self.turns[shard] % self.replicas);
        }
        let candidates: Vec<ReplicaCandidate> = (first..first + self.replicas)
            .map(|upstream| ReplicaCandidate {
                load: self.views[upstream].load(now),
                is_local: domains[upstream] == self.domain,
                is_tried: tried.contains(&upstream),
                is_full: self.ledgers[upstream].is_full(),
            })
            .collect();
        if kind.is_none()
            && let Some(upstream) = self.overflow(now, shard)
        {
            return Ok(upstream);
        }
        let ReplicaChoice { index, .. } =
            ReplicaPicker::default().pick(&candidates, kind, &mut self.rng)?;
        Ok(first + index)
    }

    /// Takes a connection and returns it with the time until it can carry the request.
    pub(crate) fn connect(
        &mut self,
        now: ClockTime,
        upstream: usize,
        repeat: RepeatPolicy,
        opening: Duration,
    ) -> (ConnectionId, Duration) {
        let ledger = &mut self.ledgers[upstream];
        match ledger.acquire(now, repeat) {
            ConnectionPlan::Use(id) => (id, Duration::ZERO),
            ConnectionPlan::Probe(id) => (id, Duration::from_millis(3)),
            ConnectionPlan::Open | ConnectionPlan::Replace(_) | ConnectionPlan::Wait => {
                self.connections_opened += 1;
                let id = ConnectionId(self.connections_opened);
                ledger.record_open(now, id);
                (id, opening)
            }
        }
    }

    /// Time after which a first attempt is hedged.
    pub(crate) fn hedge_delay(&self, shard: usize) -> Option<Duration> {
        let policy = HedgePolicy::new(RoutePolicy::default().hedge_quantile);
        policy.delay(&self.windows[shard], &self.service_window)
    }

    /// Adds a latency, or a wait that was cut short.
    pub(crate) fn record(&mut self, now: ClockTime, shard: usize, latency: Duration) {
        self.windows[shard].record(now, latency);
        self.service_window.record(now, latency);
    }

    /// Ejects slow upstreams among `shards` and returns items to start or fail after slots changed.
    pub(crate) fn eject(&mut self, now: ClockTime, shards: &[usize]) {
        let upstreams: Vec<usize> = shards
            .iter()
            .flat_map(|shard| shard * self.replicas..(shard + 1) * self.replicas)
            .collect();
        let candidates: Vec<EjectionCandidate> = upstreams
            .iter()
            .map(|&upstream| EjectionCandidate {
                shard: upstream / self.replicas,
                latency: self.views[upstream].latency(),
                samples: self.views[upstream].samples(),
                failures: self.views[upstream].failures(),
                is_leaving: false,
                is_ejected: self.views[upstream].is_ejected(now),
                is_on_trial: self.views[upstream].is_on_trial(now),
            })
            .collect();
        for index in EjectionPolicy.select_ejections(&candidates) {
            self.views[upstreams[index]].eject(now);
        }
    }

    /// Takes over the slots and connections of a shard whose owner is gone.
    pub(crate) fn own(&mut self, shard: usize, desk: &Desk, rank: usize, entries: usize) {
        self.owned[shard] = true;
        self.slots[shard] = desk.slots * desk.replicas as u32;
        let share = ConnectionShare::new(entries as u32);
        let connections = share.owner_connections(ConnectionLimit(desk.connections), rank as u32);
        for upstream in shard * self.replicas..(shard + 1) * self.replicas {
            self.ledgers[upstream].set_share(connections);
        }
    }

    /// Slots of `shard` at replicas that are not ejected.
    pub(crate) fn usable_slots(&self, now: ClockTime, shard: usize) -> SlotCount {
        let first = shard * self.replicas;
        let usable = (first..first + self.replicas)
            .map(|upstream| &self.views[upstream])
            .filter(|view| !view.is_ejected(now) && !view.is_on_trial(now))
            .count() as u32;
        let slots = SlotCount((self.slots[shard] * usable / self.replicas as u32).max(1));
        match self.owned[shard] {
            true if usable > 0 => {
                let waiting = self.queues[shard].waiting_count();
                let (_, ejected) = self.slow_replicas(now, shard);
                let allowed =
                    SlotAllowance::default().max_in_flight(slots, self.usual_latency(shard));
                let extra = self
                    .slot_overflow(shard)
                    .extra_slots(waiting, slots, &ejected);
                SlotCount(allowed.get() + extra)
            }
            true => SlotAllowance::default().max_in_flight(slots, self.usual_latency(shard)),
            false => slots,
        }
    }

    /// The slow ejected replica that an owner uses because the others are busy.
    fn overflow(&self, now: ClockTime, shard: usize) -> Option<usize> {
        let first = shard * self.replicas;
        let healthy: Vec<&UpstreamView> = self.views[first..first + self.replicas]
            .iter()
            .filter(|view| !view.is_ejected(now) && !view.is_on_trial(now))
            .collect();
        if !self.owned[shard] || healthy.is_empty() {
            return None;
        }
        let busy = healthy.iter().map(|view| view.in_flight()).sum();
        let slots = SlotCount(self.slots[shard] * healthy.len() as u32 / self.replicas as u32);
        let allowed = SlotAllowance::default().max_in_flight(slots, self.usual_latency(shard));
        let (upstreams, in_flight) = self.slow_replicas(now, shard);
        let overflow = self.slot_overflow(shard);
        overflow
            .pick_ejected(busy, allowed, &in_flight)
            .map(|index| upstreams[index])
    }

    /// Ejected replicas without a failure since, and what is in flight at them.
    fn slow_replicas(&self, now: ClockTime, shard: usize) -> (Vec<usize>, Vec<u32>) {
        let first = shard * self.replicas;
        (first..first + self.replicas)
            .map(|upstream| (upstream, &self.views[upstream]))
            .filter(|(_, view)| view.is_ejected(now) && view.failures() == 0)
            .map(|(upstream, view)| (upstream, view.in_flight()))
            .unzip()
    }

    fn slot_overflow(&self, shard: usize) -> SlotOverflow {
        SlotOverflow::new(SlotCount(self.slots[shard] / self.replicas as u32))
    }

    fn usual_latency(&self, shard: usize) -> Duration {
        let window = &self.windows[shard];
        window.quantile(0.5).unwrap_or_default()
    }
}
