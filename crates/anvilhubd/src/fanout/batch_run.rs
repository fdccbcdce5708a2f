use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::ReportedOutcome;
use futures_util::future::join_all;

use crate::entry_context::EntryContext;
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome};

use super::{
    FanoutRequest, SendMark, SubRequestOrigin, SubRequestPlan, SubRequestRun, batch_deadline,
    fingerprint_query,
};

/// Runs the sub-requests that another instance sent because this one owns their shards.
///
/// Ownership is not checked: when this instance does not own a shard, slots are only counted less accurately.
pub(crate) async fn run_batch(context: &Arc<EntryContext>, batch: BatchMessage) -> BatchAnswer {
    let items = batch.items.into_iter();
    let outcomes = join_all(items.map(|item| run_item(context, item))).await;
    BatchAnswer { outcomes }
}

/// Runs one sub-request of a batch.
async fn run_item(context: &Arc<EntryContext>, item: BatchItem) -> BatchOutcome {
    let Some(plan) = plan_sub_request(context, item) else {
        return BatchOutcome::Missing {
            reason: MissingReason::NoReplica,
            held: Vec::new(),
            not_run: true,
        };
    };
    let run = SubRequestRun::new(Arc::clone(context), plan, SubRequestOrigin::Received);
    let outcome = run.run().await;
    match outcome.result {
        Ok(answer) => BatchOutcome::Answered(answer),
        Err(reason) => BatchOutcome::Missing {
            reason,
            held: outcome
                .held_snapshots
                .into_iter()
                .flat_map(|(_, held)| held)
                .collect(),
            not_run: outcome.reported_outcome == ReportedOutcome::NotRun,
        },
    }
}

/// Plans the sub-request, `None` when the sheet in force does not have the service or the shard.
fn plan_sub_request(context: &EntryContext, item: BatchItem) -> Option<SubRequestPlan> {
    let routes = context.routes()?;
    let service = Arc::clone(routes.services.get(&item.request.service)?);
    let shard = Arc::clone(service.shard(&item.shard)?);
    let time_left =
        Duration::from_millis(item.request.deadline_ms).min(context.settings.max_deadline);
    let request = FanoutRequest {
        request_id: item.request.request_id.clone(),
        fingerprint: fingerprint_query(
            &item.request.service,
            item.request.key,
            &item.request.query,
        ),
        urgency: item.urgency.max(service.spec.urgency),
        is_idempotent: item.request.idempotent,
        key: item.request.key,
        query: item.request.query,
        deadline: batch_deadline(context.clock.now(), time_left),
        service,
    };
    let range = KeyRange::new(item.request.start, item.request.end);
    Some(SubRequestPlan {
        id: item.request.request_id,
        request: Arc::new(request),
        candidates: shard.replicas_covering(range),
        shard,
        range,
        snapshot: item.request.snapshot,
        send_mark: SendMark::default(),
    })
}
