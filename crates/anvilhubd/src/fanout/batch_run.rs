use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::AttemptOutcome;
use futures_util::future::join_all;

use crate::context::EntryContext;
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome};

use super::{QueryBody, SubOrigin, SubQuery, SubRun, batch_time};

/// Runs sub-requests that another instance sent because this one owns their shards.
///
/// It runs what it is asked, whoever owns the shard: a wrong owner only counts slots less accurately.
pub(crate) async fn run_batch(context: &Arc<EntryContext>, batch: BatchMessage) -> BatchAnswer {
    let items = batch.items.into_iter();
    let outcomes = join_all(items.map(|item| run_item(context, item))).await;
    BatchAnswer { outcomes }
}

async fn run_item(context: &Arc<EntryContext>, item: BatchItem) -> BatchOutcome {
    let Some(query) = sub_query(context, item) else {
        return BatchOutcome::Missing {
            reason: MissingReason::NoReplica,
            held: Vec::new(),
            not_run: true,
        };
    };
    let run = SubRun::new(Arc::clone(context), query, SubOrigin::Received);
    let outcome = run.run().await;
    match outcome.result {
        Ok(answer) => BatchOutcome::Answered(answer),
        Err(reason) => BatchOutcome::Missing {
            reason,
            held: outcome
                .held
                .into_iter()
                .flat_map(|(_, held)| held)
                .collect(),
            not_run: outcome.outcome == AttemptOutcome::NotRun,
        },
    }
}

/// `None` when the sheet in force here does not have the service or the shard, or no time is left.
fn sub_query(context: &EntryContext, item: BatchItem) -> Option<SubQuery> {
    let routes = context.routes()?;
    let service = Arc::clone(routes.services.get(&item.request.service)?);
    let shard = Arc::clone(service.shard(&item.shard)?);
    let left = Duration::from_millis(item.request.deadline_ms).min(context.settings.max_deadline);
    let body = QueryBody {
        request_id: item.request.request_id.clone(),
        urgency: item.urgency.max(service.spec.urgency),
        idempotent: item.request.idempotent,
        key: item.request.key,
        query: item.request.query,
        deadline: batch_time(context.clock.now(), left),
        service,
    };
    let range = KeyRange::new(item.request.start, item.request.end);
    Some(SubQuery {
        id: item.request.request_id,
        body: Arc::new(body),
        candidates: shard.replicas_covering(range),
        shard,
        range,
        snapshot: item.request.snapshot,
    })
}
