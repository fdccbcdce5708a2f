//! How a request would be routed now, for operators.

use anvilhub_coord::border::operator::{
    ExplainReplica, ExplainReport, ExplainShard, UpstreamState,
};
use anvilhub_coord::gather::SnapshotChooser;
use anvilhub_coord::ids::{ServiceName, SnapshotId, UpstreamId};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{PickError, ReplicaCandidate, ReplicaPicker};
use anvilhub_coord::time::ClockTime;

use crate::context::EntryContext;
use crate::routes::{ShardRoute, UpstreamRoute};

/// Explains the route of a request for `key`, or for the whole range. `None` when no sheet is in force or it has
/// no such service.
pub(crate) fn explain(
    context: &EntryContext,
    service: &ServiceName,
    key: Option<u64>,
) -> Option<ExplainReport> {
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
    Some(ExplainReport {
        instance: context.settings.instance.clone(),
        sheet_version: routes.version,
        service: name.clone(),
        snapshot,
        running,
        waiting: waiting as u64,
        limit,
        shards: shards
            .map(|shard| explain_shard(context, name, shard, snapshot))
            .collect(),
    })
}

/// The upstreams of every service, and why this instance uses them or not.
pub(crate) fn upstream_states(context: &EntryContext) -> Vec<UpstreamState> {
    let Some(routes) = context.routes() else {
        return Vec::new();
    };
    let now = context.clock.now();
    let mut states = Vec::new();
    for service in routes.services.values() {
        let name = &service.spec.name;
        for shard in service.shards_in(KeyRange::WHOLE) {
            let owner = context.owner_of(name, &shard.name);
            states.extend(shard.replicas.iter().map(|upstream| {
                upstream.state.with(|state| UpstreamState {
                    id: upstream.spec.id.clone(),
                    service: name.clone(),
                    shard: shard.name.clone(),
                    status: match (state.view.leaving(), state.view.is_ejected(now), owner) {
                        (Some(signal), _, _) => format!("leaving, by {signal}"),
                        (None, true, _) => "ejected, slow or failing".to_owned(),
                        (None, false, Some(owner)) => format!("used through its owner {owner}"),
                        (None, false, None) => "used".to_owned(),
                    },
                    in_flight: state.view.in_flight(),
                    latency_us: state
                        .view
                        .latency()
                        .map(|latency| latency.as_micros() as u64),
                    held: state.held.clone().unwrap_or_default(),
                })
            }));
        }
    }
    states
}

fn explain_shard(
    context: &EntryContext,
    service: &ServiceName,
    shard: &ShardRoute,
    snapshot: Option<SnapshotId>,
) -> ExplainShard {
    let now = context.clock.now();
    let owner = context.owner_of(service, &shard.name);
    let (slots_busy, waiting) = shard.queue.lengths();
    let (chosen, reason) = choose(context, shard, snapshot, now);
    let replicas = shard.replicas.iter();
    ExplainShard {
        shard: shard.name.clone(),
        start: shard.range.start,
        end: shard.range.end,
        owner: owner.map(|owner| owner.to_string()),
        owner_bypassed: owner.is_some_and(|owner| context.owners.is_bypassed(owner, now)),
        slots_busy,
        waiting: waiting as u64,
        hedge_after_us: shard.hedge_delay().map(|delay| delay.as_micros() as u64),
        chosen,
        reason,
        replicas: replicas
            .map(|replica| explain_replica(replica, now))
            .collect(),
    }
}

fn explain_replica(upstream: &UpstreamRoute, now: ClockTime) -> ExplainReplica {
    upstream.state.with(|state| {
        let load = state.view.load(now);
        ExplainReplica {
            upstream: upstream.spec.id.clone(),
            address: upstream.spec.address.to_string(),
            in_flight: load.in_flight,
            latency_us: state
                .view
                .latency()
                .map(|latency| latency.as_micros() as u64),
            expected_us: load.expected.as_micros() as u64,
            failures: state.view.failures(),
            ejected: load.ejected,
            leaving: state.view.leaving().map(|signal| signal.to_string()),
            held: state.held.clone().unwrap_or_default(),
        }
    })
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
            full: context.pool.is_full(replica.spec.address),
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
