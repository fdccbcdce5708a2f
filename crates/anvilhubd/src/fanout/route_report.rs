use anvilhub_coord::border::operator::{ExplainReport, ExplainShard, UpstreamState};
use anvilhub_coord::gather::{ShardPlan, SnapshotChooser};
use anvilhub_coord::ids::{ServiceName, UpstreamId};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{ReplicaCandidate, ReplicaPicker};
use anvilhub_coord::time::ClockTime;

use crate::entry_context::EntryContext;
use crate::routes::{ServiceRoute, ShardRoute, UpstreamRoute};

/// Explains how a request for `key`, or for the whole range without one, would be routed now.
///
/// Returns `None` when no sheet is in force or it does not have the service.
pub(crate) fn explain_route(
    context: &EntryContext,
    service: &ServiceName,
    key: Option<u64>,
) -> Option<ExplainReport> {
    let routes = context.routes()?;
    let service = routes.services.get(service)?;
    let range = key.map_or(KeyRange::WHOLE, KeyRange::single);
    let now = context.clock.now();
    let shards: Vec<_> = service.shards_in(range).collect();
    let holdings = shards
        .iter()
        .map(|shard| shard.snapshot_holding(now))
        .collect();
    let plan = SnapshotChooser::new(range, holdings).choose();
    Some(ExplainReport {
        service: service.spec.name.clone(),
        start: range.start,
        end: range.end,
        snapshot: plan.snapshot,
        shards: shards
            .iter()
            .zip(&plan.shards)
            .map(|(shard, plan)| explain_shard(context, service, shard, plan))
            .collect(),
    })
}

/// Returns the state of every upstream of the sheet in force, and why this instance uses it or not.
pub(crate) fn upstream_states(context: &EntryContext) -> Vec<UpstreamState> {
    let Some(routes) = context.routes() else {
        return Vec::new();
    };
    let now = context.clock.now();
    let services = routes.services.values();
    services
        .flat_map(|service| service.shards.iter().map(move |shard| (service, shard)))
        .flat_map(|(service, shard)| replica_states(context, service, shard, now))
        .collect()
}

fn explain_shard(
    context: &EntryContext,
    service: &ServiceRoute,
    shard: &ShardRoute,
    plan: &ShardPlan,
) -> ExplainShard {
    let now = context.clock.now();
    let (chosen, reason) = choose_replica(context, shard, plan, now);
    let (busy_slots, waiting_count) = shard.queue.counts();
    let owner = match shard.owner() {
        Some(owner) if context.owners.is_bypassed(owner, now) => {
            format!("{owner}, bypassed because it does not answer")
        }
        Some(owner) => owner.to_string(),
        None => context.settings.instance.to_string(),
    };
    ExplainShard {
        shard: shard.name.clone(),
        start: plan.range.start,
        end: plan.range.end,
        owner,
        chosen,
        reason: format!("{reason}; {busy_slots} slots busy, {waiting_count} waiting"),
        replicas: replica_states(context, service, shard, now),
    }
}

/// Chooses a replica as the first attempt of a request would, with the reason. Among equal replicas the choice is
/// random, so each call may choose a different one.
fn choose_replica(
    context: &EntryContext,
    shard: &ShardRoute,
    plan: &ShardPlan,
    now: ClockTime,
) -> (Option<UpstreamId>, String) {
    if let Some(reason) = plan.unserved_reason {
        return (None, reason.to_string());
    }
    let candidates: Vec<_> = shard
        .replicas
        .iter()
        .map(|replica| ReplicaCandidate {
            load: replica.current_load(now),
            is_local: replica.spec.failure_domain == context.settings.failure_domain,
            is_excluded: !plan.replicas.contains(&replica.spec.id),
            lacks_connection: context.pool.is_full(replica.spec.address),
        })
        .collect();
    match ReplicaPicker::default().pick(&candidates, None, &mut rand::rng()) {
        Ok(choice) => {
            let chosen = shard.replicas[choice.index].spec.id.clone();
            (Some(chosen), choice.reason.to_string())
        }
        Err(error) => (None, error.to_string()),
    }
}

fn replica_states(
    context: &EntryContext,
    service: &ServiceRoute,
    shard: &ShardRoute,
    now: ClockTime,
) -> Vec<UpstreamState> {
    let replicas = shard.replicas.iter();
    replicas
        .map(|replica| {
            let (in_flight, latency, held) = replica.state.with(|state| {
                let view = &state.view;
                (
                    view.in_flight(),
                    view.latency(),
                    state.held_snapshots.clone(),
                )
            });
            UpstreamState {
                id: replica.spec.id.clone(),
                service: service.spec.name.clone(),
                shard: shard.name.clone(),
                status: replica_status(context, shard, replica, now),
                in_flight,
                latency_us: latency.map(|latency| latency.as_micros() as u64),
                held: held.unwrap_or_default(),
            }
        })
        .collect()
}

fn replica_status(
    context: &EntryContext,
    shard: &ShardRoute,
    replica: &UpstreamRoute,
    now: ClockTime,
) -> String {
    if let Some(signal) = replica.leaving_signal() {
        return match replica.has_ended() {
            true => format!("leaving, by {signal}; its process has ended"),
            false => format!("leaving, by {signal}"),
        };
    }
    if replica.current_load(now).is_ejected {
        return "ejected, slower than its peers or failing".to_owned();
    }
    match shard.owner() {
        Some(owner) => format!("owned by {owner}"),
        None if context.pool.is_full(replica.spec.address) => {
            "used, every connection is busy".to_owned()
        }
        None => "used".to_owned(),
    }
}
