use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::routing::AttemptOutcome;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use log::info;
use metrics::counter;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome, PeerApiClient};

use super::{PieceEnd, SubOrigin, SubOutcome, SubQuery, SubRun, after_hop, ping_owner};

/// How often a waiting call looks whether its owner still answers.
const HEALTH_POLL: Duration = Duration::from_millis(10);
/// Time beyond the deadline after which a call is given up: the owner answers at the deadline at the latest.
const CALL_SLACK: Duration = Duration::from_millis(20);

type CallEnd = crate::peer::Result<BatchAnswer>;

/// The sub-requests of one request that go to one owner.
pub(super) struct BatchCall {
    pub(super) context: Arc<EntryContext>,
    pub(super) owner: SocketAddr,
    pub(super) queries: Vec<SubQuery>,
}

impl BatchCall {
    /// Waits for the owner, and bypasses it when it does not answer.
    pub(super) async fn run(self) -> Vec<PieceEnd> {
        let Some(mut call) = self.start() else {
            return self.end_all(MissingReason::Timeout, true);
        };
        tokio::select! {
            end = &mut call => return self.ended(end).await,
            () = self.silence() => {}
        }
        self.note_bypass("the owner is silent");
        self.run_bypassing(call).await
    }

    /// Sends the sub-requests of a silent owner directly, and takes the owner's answers for the rest if they come.
    async fn run_bypassing(&self, mut call: oneshot::Receiver<CallEnd>) -> Vec<PieceEnd> {
        let is_lost = AtomicBool::new(false);
        let queries = self.queries.iter().cloned();
        let mut direct: FuturesUnordered<_> = queries
            .map(|query| self.run_paid(query, &is_lost))
            .collect();
        let mut ends: Vec<PieceEnd> = Vec::new();
        loop {
            tokio::select! {
                end = &mut call, if !is_lost.load(Ordering::Relaxed) => match end {
                    Ok(Ok(answer)) => {
                        let rest = self.answered(answer).into_iter();
                        let rest: Vec<_> = rest
                            .filter(|end| ends.iter().all(|direct| direct.id != end.id))
                            .collect();
                        ends.extend(rest);
                        return ends;
                    }
                    _ => is_lost.store(true, Ordering::Relaxed),
                },
                end = direct.next() => match end {
                    Some(end) => ends.push(end),
                    None => return ends,
                },
            }
        }
    }

    /// Sends a sub-request directly once the budget pays for it: the owner may be slow only, and then it is extra
    /// load. Once the owner's answer is lost for certain it is needed.
    async fn run_paid(&self, query: SubQuery, is_lost: &AtomicBool) -> PieceEnd {
        loop {
            let now = self.context.clock.now();
            let needed = is_lost.load(Ordering::Relaxed) || now >= query.body.deadline;
            let budget = &query.body.service.budget;
            if needed || budget.with(|budget| budget.try_spend(now)) {
                return self.run_direct(query).await;
            }
            sleep(HEALTH_POLL).await;
        }
    }

    /// Sends the batch. The call continues when nobody waits for it any more, so that its end still says whether
    /// the owner answers.
    fn start(&self) -> Option<oneshot::Receiver<CallEnd>> {
        let now = self.context.clock.now();
        let deadline = self.queries.first()?.body.deadline;
        let deadline_ms = after_hop(now, deadline)?;
        let items = self.queries.iter().map(|query| BatchItem {
            shard: query.shard.name.clone(),
            urgency: query.body.urgency,
            request: query.message(query.id.clone(), deadline_ms),
        });
        let batch = BatchMessage {
            from: self.context.settings.instance.clone(),
            items: items.collect(),
        };
        let context = Arc::clone(&self.context);
        let owner = self.owner;
        let patience = deadline.since(now) + CALL_SLACK;
        let (sender, receiver) = oneshot::channel();
        context
            .owners
            .update(owner, |health| health.record_send(now));
        for query in &self.queries {
            let budget = &query.body.service.budget;
            budget.with(|budget| budget.earn_as_sender(now));
        }
        tokio::spawn(async move {
            let call = context.peers.call(owner, patience, |client| async move {
                client.run_batch(batch).await
            });
            let result = call.await;
            let now = context.clock.now();
            context.owners.update(owner, |health| match result {
                Ok(_) => health.record_message(now, true),
                Err(_) => health.record_failure(),
            });
            // The request may have ended meanwhile.
            let _ = sender.send(result);
        });
        Some(receiver)
    }

    /// Waits until the owner is silent. A batch may wait long for slots, so the owner is pinged meanwhile.
    async fn silence(&self) {
        loop {
            sleep(HEALTH_POLL).await;
            ping_owner(&self.context, self.owner);
            let now = self.context.clock.now();
            if self.context.owners.is_bypassed(self.owner, now) {
                return;
            }
        }
    }

    async fn ended(&self, end: Result<CallEnd, oneshot::error::RecvError>) -> Vec<PieceEnd> {
        match end {
            Ok(Ok(answer)) => self.answered(answer),
            Ok(Err(error)) => {
                self.note_bypass(&error.to_string());
                // The owner's answers are lost for certain, so these sub-requests are needed.
                let queries = self.queries.iter().cloned();
                join_all(queries.map(|query| self.run_direct(query))).await
            }
            Err(_) => self.end_all(MissingReason::Timeout, false),
        }
    }

    async fn run_direct(&self, query: SubQuery) -> PieceEnd {
        let (id, shard) = (query.id.clone(), Arc::clone(&query.shard));
        let run = SubRun::new(Arc::clone(&self.context), query, SubOrigin::Resent);
        let mut outcome = run.run().await;
        // The owner got the sub-request before, and may have run it.
        if outcome.outcome == AttemptOutcome::NotRun {
            outcome.outcome = AttemptOutcome::Unknown;
        }
        PieceEnd { id, shard, outcome }
    }

    fn answered(&self, answer: BatchAnswer) -> Vec<PieceEnd> {
        if answer.outcomes.len() != self.queries.len() {
            return self.end_all(MissingReason::BadAnswer, false);
        }
        let ends = self.queries.iter().zip(answer.outcomes);
        ends.map(|(query, outcome)| piece_end(query, outcome))
            .collect()
    }

    fn end_all(&self, reason: MissingReason, not_run: bool) -> Vec<PieceEnd> {
        let missing = BatchOutcome::Missing {
            reason,
            held: Vec::new(),
            not_run,
        };
        let queries = self.queries.iter();
        queries
            .map(|query| piece_end(query, missing.clone()))
            .collect()
    }

    fn note_bypass(&self, reason: &str) {
        let request_id = self.queries.first().map(|query| &query.body.request_id);
        if let Some(request_id) = request_id {
            info!(request_id:% = request_id, owner:% = self.owner, reason; "owner bypassed");
        }
        counter!("anvilhub_owner_bypasses_total").increment(1);
    }
}

/// The message does not say which replica answered, so what it holds counts for the whole shard: the owner
/// chooses among the replicas.
fn piece_end(query: &SubQuery, outcome: BatchOutcome) -> PieceEnd {
    let (result, held, outcome) = match outcome {
        BatchOutcome::Answered(answer) => {
            let held = answer.held.clone();
            (Ok(answer), held, AttemptOutcome::Done)
        }
        BatchOutcome::Missing {
            reason,
            held,
            not_run,
        } => {
            let outcome = match not_run {
                true => AttemptOutcome::NotRun,
                false => AttemptOutcome::Unknown,
            };
            (Err(reason), held, outcome)
        }
    };
    let replicas = query.shard.replicas.iter();
    let stated = match held.is_empty() {
        true => Vec::new(),
        false => replicas
            .map(|replica| {
                replica.state.with(|state| state.held = Some(held.clone()));
                (replica.spec.id.clone(), held.clone())
            })
            .collect(),
    };
    PieceEnd {
        id: query.id.clone(),
        shard: Arc::clone(&query.shard),
        outcome: SubOutcome {
            result,
            held: stated,
            outcome,
        },
    }
}
