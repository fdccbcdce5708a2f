use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::connection::ConnectionShare;
use anvilhub_coord::ids::{PlatformRevision, SheetDigest, SlotCount};
use anvilhub_coord::routing::{EjectionCandidate, EjectionPolicy, SlotAllowance};
use anvilhub_coord::sheet::{RepeatPolicy, RouteMode};
use anvilhub_coord::time::ClockTime;
use crossbeam::channel::tick;
use eyre::Result;
use log::{debug, warn};
use metrics::{counter, gauge};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::entry_context::EntryContext;
use crate::pool::{ConnectionTarget, PoolError};
use crate::routes::leaving_signals;
use crate::routes::{EntryDivision, RouteTable, ServiceRoute, ShardRoute, UpstreamRoute};

use super::controller_thread;

/// Time between two rounds: queues must be advanced at least a few times per second.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two requests for the load report of an upstream.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for a load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of load reports requested at once; further upstreams that are due wait for the next round.
const MAX_CONCURRENT_POLLS: usize = 32;
/// Minimum time for which a connection that waits for an answer must receive nothing, while another connection to the
/// upstream receives something or is opened, to count as silent. With a lower limit, the connections of an upstream
/// that is slowed tenfold would count as silent, because its load reports still arrive at once on another connection.
/// Until the limit is reached, a hedge can still answer the request.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// A connection counts as silent after this many times the upstream's typical latency without a byte.
const SILENCE_FACTOR: u32 = 8;
/// Warm connections per slot: one for the running request, and one for the next request or a cancellation.
const WARM_CONNECTIONS_PER_SLOT: u32 = 2;

/// Keeps the state of routes and connections up to date independently of requests.
pub(crate) struct UpstreamController {
    context: Arc<EntryContext>,
    runtime: Handle,
    poll_permits: Arc<Semaphore>,
    /// Division, revision of the instance list, and digest of the sheet that were last applied to the routes.
    last_applied: Option<(Arc<EntryDivision>, Option<PlatformRevision>, SheetDigest)>,
}

impl UpstreamController {
    pub(crate) fn new(context: Arc<EntryContext>, runtime: Handle) -> Self {
        Self {
            context,
            runtime,
            poll_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS)),
            last_applied: None,
        }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        controller_thread::start("upstreams", move || self.run())
    }

    fn run(mut self) {
        // Connections are opened and probed by tasks of the runtime.
        let _runtime = self.runtime.enter();
        for _ in tick(ROUND_INTERVAL) {
            if let Some(routes) = self.context.routes() {
                self.run_round(&routes);
            }
        }
    }

    fn run_round(&mut self, routes: &RouteTable) {
        let now = self.context.clock.now();
        self.apply_division(routes);
        let mut targets = HashMap::new();
        let mut silence_limits = HashMap::new();
        for service in routes.services.values() {
            self.update_service(service, now);
            for shard in &service.shards {
                for upstream in &shard.replicas {
                    let state = &upstream.state;
                    state.with(|state| state.view.expire_peer_signal(now));
                    targets.insert(
                        upstream.spec.address,
                        self.connection_target(service, shard, upstream),
                    );
                    silence_limits.insert(upstream.spec.address, silence_limit(upstream));
                    if self.needs_load_report(service, shard, upstream) {
                        self.poll_load(upstream, now);
                    }
                }
            }
        }
        self.context.pool.configure(&targets);
        let silence_limit = move |address: SocketAddr| {
            let limit = silence_limits.get(&address);
            limit.copied().unwrap_or(MIN_SILENCE_LIMIT)
        };
        self.context.pool.maintain();
        let context = Arc::clone(&self.context);
        self.runtime
            .spawn(async move { context.pool.close_silent(silence_limit).await });
    }

    /// Applies a changed division, instance list or sheet: sets the owner of each shard, and marks the upstreams that
    /// the list names as leaving.
    fn apply_division(&mut self, routes: &RouteTable) {
        let list = self.context.instance_list.load_full();
        let division = self.context.division.load_full();
        let revision = list.as_ref().map(|list| list.revision);
        let is_unchanged = self.last_applied.as_ref().is_some_and(|applied| {
            let (applied_division, applied_revision, applied_digest) = applied;
            Arc::ptr_eq(applied_division, &division)
                && *applied_revision == revision
                && *applied_digest == routes.digest
        });
        if is_unchanged {
            return;
        }
        self.last_applied = Some((Arc::clone(&division), revision, routes.digest));
        self.context.owners.retain(|owner| division.has_peer(owner));
        if let Some(list) = list {
            leaving_signals::apply_instance_list(routes, &list, self.context.clock.now());
        }
        for service in routes.services.values() {
            for shard in &service.shards {
                shard.set_owner(division.owner_address(&service.spec.name, &shard.name));
            }
        }
    }

    /// Advances the queues of a service, ejects its failing upstreams, and publishes its metrics.
    fn update_service(&self, service: &ServiceRoute, now: ClockTime) {
        service.gate.admit_waiting();
        service.update_hedge_delays();
        self.eject_upstreams(service, now);
        let name = service.spec.name.to_string();
        let (running_count, waiting_count, limit) = service.gate.counts();
        gauge!("anvilhub_requests_running", "service" => name.clone()).set(running_count);
        gauge!("anvilhub_requests_waiting", "service" => name.clone()).set(waiting_count as f64);
        gauge!("anvilhub_admission_limit", "service" => name.clone()).set(limit);
        let loads = service
            .upstreams()
            .map(|upstream| upstream.current_load(now));
        let (leaving_count, ejected_count) = loads.fold((0, 0), |(leaving, ejected), load| {
            (
                leaving + u32::from(load.is_leaving),
                ejected + u32::from(load.is_ejected),
            )
        });
        gauge!("anvilhub_leaving_upstreams", "service" => name.clone()).set(leaving_count);
        gauge!("anvilhub_ejected_upstreams", "service" => name.clone()).set(ejected_count);
        let mut queued_count = 0;
        for shard in &service.shards {
            let usable_slots = shard.usable_slots(now);
            let max_in_flight = self.max_in_flight(service, shard, usable_slots);
            shard.queue.set_slots(max_in_flight);
            queued_count += shard.queue.waiting_count();
        }
        gauge!("anvilhub_sub_requests_waiting", "service" => name).set(queued_count as f64);
    }

    /// Returns whether this instance usually sends to the shard's upstreams itself: always in direct mode, otherwise
    /// only as the owner of the shard.
    fn is_sender(&self, service: &ServiceRoute, shard: &ShardRoute) -> bool {
        service.spec.route.mode == RouteMode::Direct || shard.owner().is_none()
    }

    /// Returns whether this instance requests load reports of the upstream.
    ///
    /// Any instance may send ticketed requests, not only one that usually sends to the shard, so each instance must
    /// learn from the reports when a new process has replaced a leaving upstream.
    fn needs_load_report(
        &self,
        service: &ServiceRoute,
        shard: &ShardRoute,
        upstream: &UpstreamRoute,
    ) -> bool {
        let is_ticketed = service.spec.repeatability == RepeatPolicy::NonIdempotent;
        self.is_sender(service, shard) || (is_ticketed && upstream.leaving_signal().is_some())
    }

    /// Returns the maximum number of sub-requests that this instance has in flight at the shard's replicas: enough for
    /// all usable slots when it owns the shard, its share of them otherwise.
    fn max_in_flight(
        &self,
        service: &ServiceRoute,
        shard: &ShardRoute,
        usable_slots: SlotCount,
    ) -> SlotCount {
        let is_owner =
            service.spec.route.mode == RouteMode::Owner && self.is_sender(service, shard);
        match is_owner {
            true => match shard.typical_latency() {
                Some(typical_latency) => {
                    SlotAllowance::default().max_in_flight(usable_slots, typical_latency)
                }
                None => usable_slots,
            },
            false => {
                SlotCount((usable_slots.get() / self.context.division.load().instance_count).max(1))
            }
        }
    }

    /// Returns how many connections to the upstream this instance may hold, and how many it opens ahead of need.
    fn connection_target(
        &self,
        service: &ServiceRoute,
        shard: &ShardRoute,
        upstream: &UpstreamRoute,
    ) -> ConnectionTarget {
        let division = self.context.division.load();
        let shares = ConnectionShare::new(division.instance_count);
        let (limit, rank) = (upstream.spec.max_connections, division.rank);
        let is_sender = self.is_sender(service, shard);
        let max_connections = match (service.spec.route.mode, is_sender) {
            (RouteMode::Direct, _) => shares.max_direct_connections(limit, rank),
            (RouteMode::Owner, true) => shares.max_owner_connections(limit, rank),
            (RouteMode::Owner, false) => shares.max_bypass_connections(limit, rank),
        };
        let warm_connections = match is_sender && upstream.leaving_signal().is_none() {
            true => max_connections.min(upstream.spec.slots.get() * WARM_CONNECTIONS_PER_SLOT),
            false => 0,
        };
        ConnectionTarget {
            max_connections,
            warm_connections,
        }
    }

    /// Ejects upstreams that are slower than their peers or that fail.
    fn eject_upstreams(&self, service: &ServiceRoute, now: ClockTime) {
        let mut upstreams = Vec::new();
        let mut candidates = Vec::new();
        for (index, shard) in service.shards.iter().enumerate() {
            if !self.is_sender(service, shard) {
                continue;
            }
            for upstream in &shard.replicas {
                candidates.push(ejection_candidate(index, upstream, now));
                upstreams.push(upstream);
            }
        }
        for index in EjectionPolicy.select_ejections(&candidates) {
            let upstream = upstreams[index];
            let ejected_until = upstream.state.with(|state| state.view.eject(now));
            let latency_us = candidates[index]
                .latency
                .map(|latency| latency.as_micros() as u64);
            warn!(
                upstream:% = upstream.spec.id, service:% = service.spec.name, latency_us:?,
                failures = candidates[index].failure_count, millis = ejected_until.since(now).as_millis() as u64;
                "upstream ejected: slower than its peers or failing"
            );
            let service = service.spec.name.to_string();
            counter!("anvilhub_ejections_total", "service" => service).increment(1);
        }
    }

    /// Requests the load report of an upstream, at most once per interval.
    fn poll_load(&self, upstream: &Arc<UpstreamRoute>, now: ClockTime) {
        let is_due = upstream.state.with(|state| {
            state
                .polled_at
                .is_none_or(|polled_at| now.since(polled_at) >= POLL_INTERVAL)
        });
        if !is_due {
            return;
        }
        let Ok(permit) = Arc::clone(&self.poll_permits).try_acquire_owned() else {
            return;
        };
        upstream.state.with(|state| state.polled_at = Some(now));
        let context = Arc::clone(&self.context);
        let upstream = Arc::clone(upstream);
        self.runtime.spawn(async move {
            read_load(&context, &upstream).await;
            drop(permit);
        });
    }
}

/// Reads the load report of an upstream and records it, or that nothing listens at its address.
async fn read_load(context: &EntryContext, upstream: &UpstreamRoute) {
    let address = upstream.spec.address;
    let read = async {
        let pool = &context.pool;
        let lease = pool
            .acquire(address, RepeatPolicy::Idempotent, POLL_TIMEOUT)
            .await?;
        lease.read_load().await
    };
    let report = timeout(POLL_TIMEOUT, read)
        .await
        .unwrap_or(Err(PoolError::Timeout { address }));
    match report {
        Ok(report) => upstream.record_load_report(context.clock.now(), &report),
        Err(error) => {
            if matches!(error, PoolError::Unconnected { .. }) {
                upstream.record_unreachable();
            }
            debug!(upstream:% = upstream.spec.id; "cannot read the load report: {error}");
        }
    }
}

fn ejection_candidate(shard: usize, upstream: &UpstreamRoute, now: ClockTime) -> EjectionCandidate {
    upstream.state.with(|state| EjectionCandidate {
        shard,
        latency: state.view.latency(),
        sample_count: state.view.sample_count(),
        failure_count: state.view.failure_count(),
        is_leaving: state.view.leaving_signal().is_some(),
        is_ejected: state.view.is_ejected(now),
        is_on_trial: state.view.is_on_trial(now),
    })
}

/// Returns how long a connection to the upstream may carry a request without receiving a byte of the answer.
fn silence_limit(upstream: &UpstreamRoute) -> Duration {
    let latency = upstream.state.with(|state| state.view.latency());
    latency.map_or(MIN_SILENCE_LIMIT, |latency| {
        MIN_SILENCE_LIMIT.max(latency * SILENCE_FACTOR)
    })
}
