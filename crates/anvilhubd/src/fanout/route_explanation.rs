use std::net::SocketAddr;

use anvilhub_coord::gather::SnapshotChooser;
use anvilhub_coord::ids::{
    InstanceId, ServiceName, ShardName, SheetVersion, SnapshotId, UpstreamId,
};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{PickError, ReplicaCandidate, ReplicaPicker};
use anvilhub_coord::time::ClockTime;
use serde::Serialize;

use crate::context::EntryContext;
use crate::routes::{ShardRoute, UpstreamRoute};

/// How a request would be routed now, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RouteExplanation {
    /// Instance that explains; others may see their upstreams differently.
    pub(crate) instance: InstanceId,
    pub(crate) sheet_version: SheetVersion,
    pub(crate) service: ServiceName,
    /// Snapshot that would be asked for, `None` while no upstream has stated any.
    pub(crate) snapshot: Option<SnapshotId>,
    /// Requests that run, that wait, and that may run at once.
    pub(crate) running: u32,
    pub(crate) waiting: usize,
    pub(crate) limit: u32,
    pub(crate) shards: Vec<ShardExplanation>,
}

/// How a sub-request to one shard would be routed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ShardExplanation {
    pub(crate) shard: ShardName,
    pub(crate) start: u64,
    pub(crate) end: u64,
    /// Peer address of the owner, `None` when it is this instance.
    pub(crate) owner: Option<SocketAddr>,
    pub(crate) owner_bypassed: bool,
    pub(crate) slots_busy: u32,
    pub(crate) waiting: usize,
    pub(crate) hedge_after_us: Option<u64>,
    /// Replica that would be chosen; among equal ones the choice is random.
    pub(crate) chosen: Option<UpstreamId>,
    pub(crate) reason: String,
    pub(crate) replicas: Vec<ReplicaExplanation>,
}

/// What this instance knows about one replica.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ReplicaExplanation {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: u32,
    pub(crate) latency_us: Option<u64>,
    pub(crate) expected_us: u64,
    pub(crate) failures: u32,
    pub(crate) ejected: bool,
    /// Signal by which the replica is leaving.
    pub(crate) leaving: Option<String>,
    pub(crate) held: Option<Vec<SnapshotId>>,
    pub(crate) reported_range: Option<KeyRange>,
}

impl RouteExplanation {
    /// Explains the route of a request for `key`, or for the whole range. `None` when no sheet is in force or
    /// it has no such service.
    #[allow(dead_code, reason = "called by the operator server")]
    pub(crate) fn new(
        context: &EntryContext,
        service: &ServiceName,
        key: Option<u64>,
    ) -> Option<Self> {
        let routes = context.routes()?;
        let service = routes.services.get(service)?;
        let asked = key.map_or(KeyRange::WHOLE, KeyRange::single);
        let now = context.clock.now();
        let holdings = service
            .shards_in(asked)
            .map(|shard| shard.holding(now))
            .collect();
        let snapshot = SnapshotChooser::new(asked, holdings).choose().snapshot;
        let (running, waiting, limit) = service.gate.lengths();
        let name = &service.spec.name;
        let shards = service.shards_in(asked);
        Some(Self {
            instance: context.settings.instance.clone(),
            sheet_version: routes.version,
            service: name.clone(),
            snapshot,
            running,
            waiting,
            limit,
            shards: shards
                .map(|shard| ShardExplanation::new(context, name, shard, snapshot))
                .collect(),
        })
    }
}

impl ShardExplanation {
    fn new(
        context: &EntryContext,
        service: &ServiceName,
        shard: &ShardRoute,
        snapshot: Option<SnapshotId>,
    ) -> Self {
        let now = context.clock.now();
        let owner = context.owner_of(service, &shard.name);
        let (slots_busy, waiting) = shard.queue.lengths();
        let (chosen, reason) = choose(context, shard, snapshot, now);
        Self {
            shard: shard.name.clone(),
            start: shard.range.start,
            end: shard.range.end,
            owner,
            owner_bypassed: owner.is_some_and(|owner| context.owners.is_bypassed(owner, now)),
            slots_busy,
            waiting,
            hedge_after_us: shard.hedge_delay().map(|delay| delay.as_micros() as u64),
            chosen,
            reason,
            replicas: shard
                .replicas
                .iter()
                .map(|replica| ReplicaExplanation::new(replica, now))
                .collect(),
        }
    }
}

impl ReplicaExplanation {
    fn new(upstream: &UpstreamRoute, now: ClockTime) -> Self {
        upstream.state.with(|state| {
            let load = state.view.load(now);
            Self {
                upstream: upstream.spec.id.clone(),
                address: upstream.spec.address,
                in_flight: load.in_flight,
                latency_us: state
                    .view
                    .latency()
                    .map(|latency| latency.as_micros() as u64),
                expected_us: load.expected.as_micros() as u64,
                failures: state.view.failures(),
                ejected: load.ejected,
                leaving: state.view.leaving().map(|signal| signal.to_string()),
                held: state.held.clone(),
                reported_range: state.range,
            }
        })
    }
}

fn choose(
    context: &EntryContext,
    shard: &ShardRoute,
    snapshot: Option<SnapshotId>,
    now: ClockTime,
) -> (Option<UpstreamId>, String) {
    let candidates: Vec<_> = shard
        .replicas
        .iter()
        .map(|replica| ReplicaCandidate {
            load: replica.load(now),
            same_domain: replica.spec.failure_domain == context.settings.failure_domain,
            tried: !replica.may_hold(snapshot),
        })
        .collect();
    match ReplicaPicker::default().pick(&candidates, None, &mut rand::rng()) {
        Ok(choice) => {
            let chosen = shard.replicas[choice.index].spec.id.clone();
            (Some(chosen), choice.reason.to_string())
        }
        Err(PickError::AllTried) => (None, "no replica holds the snapshot".to_owned()),
        Err(error) => (None, error.to_string()),
    }
}
