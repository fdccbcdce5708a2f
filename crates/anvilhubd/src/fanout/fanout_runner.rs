use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::query::{
    CoverageEntry, MissingEntry, MissingReason, QueryAnswer, QueryOutcome,
};
use anvilhub_coord::border::upstream::{SubAnswer, SubRequest};
use anvilhub_coord::ids::{RequestId, ServiceName};
use anvilhub_coord::keyspace::{KeyRange, RangeSet};
use anvilhub_coord::sheet::{ReplicaSpec, ShardSpec};
use futures_util::future::join_all;
use log::info;

use crate::context::EntryContext;
use crate::filters::{EntryRequest, Result};
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome};
use crate::pool::PoolError;

/// Sends a request's sub-requests and gathers their answers.
pub(crate) struct FanoutRunner {
    context: Arc<EntryContext>,
}

impl FanoutRunner {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    pub(crate) async fn run(&self, request: &EntryRequest) -> Result<QueryAnswer> {
        let service = request.service()?;
        let idempotent = request.is_idempotent(service);
        let asked = request.range();
        let shards: Vec<_> = service.shards_in(asked).collect();
        let answers = join_all(
            shards
                .iter()
                .map(|shard| self.query_shard(request, shard, idempotent)),
        )
        .await;
        let newest = answers.iter().flatten().map(|answer| answer.snapshot).max();
        let mut covered = RangeSet::default();
        let mut rows = Vec::new();
        let mut missing = Vec::new();
        for (shard, answer) in shards.iter().zip(answers) {
            let part = shard.range.intersect(asked);
            match answer {
                Ok(answer) if Some(answer.snapshot) == newest => {
                    let searched = KeyRange::new(answer.start, answer.end).intersect(part);
                    covered.insert(searched);
                    rows.extend(
                        answer
                            .rows
                            .into_iter()
                            .filter(|row| searched.contains(row.key)),
                    );
                    let gaps = [searched].into_iter().collect::<RangeSet>().gaps_in(part);
                    missing.extend(missing_entries(&gaps, MissingReason::Repartitioned));
                }
                Ok(_) => missing.push(missing_entry(part, MissingReason::SnapshotUnavailable)),
                Err(reason) => missing.push(missing_entry(part, reason)),
            }
        }
        Ok(QueryAnswer {
            request_id: request.query.request_id.clone(),
            outcome: QueryOutcome::Done,
            rows,
            snapshot: newest,
            coverage: Some(CoverageEntry {
                complete: covered.covers(asked),
                fraction: covered.len() as f64 / asked.len().max(1) as f64,
                missing,
            }),
            ticket: None,
            error: None,
        })
    }

    /// Runs sub-requests for shards that this instance owns.
    pub(crate) async fn run_batch(&self, batch: BatchMessage) -> BatchAnswer {
        let outcomes = join_all(batch.items.iter().map(|item| self.run_item(item))).await;
        BatchAnswer { outcomes }
    }

    async fn run_item(&self, item: &BatchItem) -> BatchOutcome {
        let sheet = self.context.sheet.load_full();
        let service = sheet
            .as_ref()
            .and_then(|sheet| sheet.services.get(&item.request.service));
        let shard = service.and_then(|service| {
            let mut shards = service.shards.iter();
            shards.find(|shard| shard.name == item.shard)
        });
        let mut reason = MissingReason::NoReplica;
        let deadline = self.context.clock.now() + Duration::from_millis(item.request.deadline_ms);
        for replica in shard.iter().flat_map(|shard| &shard.replicas) {
            let remaining = deadline.since(self.context.clock.now());
            let query = self
                .context
                .pool
                .query(replica.address, &item.request, remaining);
            match query.await {
                Ok(answer) => return BatchOutcome::Answered(answer),
                Err(error) => reason = missing_reason(&error),
            }
        }
        let held = Vec::new();
        BatchOutcome::Missing { reason, held }
    }

    async fn query_shard(
        &self,
        request: &EntryRequest,
        shard: &ShardSpec,
        idempotent: bool,
    ) -> std::result::Result<SubAnswer, MissingReason> {
        let mut reason = MissingReason::NoReplica;
        for (attempt, replica) in shard.replicas.iter().enumerate() {
            log_choice(
                &request.query.request_id,
                &request.query.service,
                shard,
                replica,
                attempt,
            );
            match self.query_replica(request, shard, replica, attempt).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    reason = missing_reason(&error);
                    if !idempotent && !error.proves_not_run() {
                        break;
                    }
                }
            }
        }
        Err(reason)
    }

    async fn query_replica(
        &self,
        request: &EntryRequest,
        shard: &ShardSpec,
        replica: &ReplicaSpec,
        attempt: usize,
    ) -> crate::pool::Result<SubAnswer> {
        let remaining = request.deadline.since(self.context.clock.now());
        let range = shard.range.intersect(request.range());
        let sub_request = SubRequest {
            request_id: sub_request_id(&request.query.request_id, shard, attempt),
            service: request.query.service.clone(),
            start: range.start,
            end: range.end,
            snapshot: None,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            idempotent: request.query.idempotent,
            key: request.query.key,
            query: request.query.query.clone(),
        };
        self.context
            .pool
            .query(replica.address, &sub_request, remaining)
            .await
    }
}

/// Identifier that no other sub-request of the instance has.
fn sub_request_id(request: &RequestId, shard: &ShardSpec, attempt: usize) -> RequestId {
    let text = format!("{request}/{}/{attempt}", shard.name);
    serde_json::from_value(text.into()).expect("any text is a request identifier at the border")
}

fn log_choice(
    request: &RequestId,
    service: &ServiceName,
    shard: &ShardSpec,
    replica: &ReplicaSpec,
    attempt: usize,
) {
    let reason = if attempt == 0 {
        "first replica of the shard"
    } else {
        "the replica before it failed"
    };
    info!(
        request_id:% = request, service:% = service, shard:% = shard.name, upstream:% = replica.id,
        attempt, reason; "sub-request routed"
    );
}

fn missing_reason(error: &PoolError) -> MissingReason {
    match error {
        PoolError::Unconnected { .. } => MissingReason::NoReplica,
        PoolError::Refused { .. } => MissingReason::Shed,
        PoolError::Timeout { .. } | PoolError::Broken { .. } => MissingReason::Timeout,
        PoolError::BadAnswer { .. } | PoolError::OversizedAnswer { .. } => MissingReason::BadAnswer,
    }
}

fn missing_entries(gaps: &RangeSet, reason: MissingReason) -> Vec<MissingEntry> {
    gaps.ranges()
        .iter()
        .map(|&gap| missing_entry(gap, reason))
        .collect()
}

fn missing_entry(range: KeyRange, reason: MissingReason) -> MissingEntry {
    MissingEntry {
        start: range.start,
        end: range.end,
        reason,
    }
}
