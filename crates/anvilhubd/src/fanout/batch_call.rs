use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::routing::AttemptOutcome;
use futures_util::future::join_all;
use log::info;
use metrics::counter;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome, PeerApiClient};

use super::{PieceEnd, SubOutcome, SubQuery, SubRun, after_hop};

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
        // The owner may be slow only, so sending its sub-requests again is extra load.
        let now = self.context.clock.now();
        let (paid, unpaid): (Vec<_>, Vec<_>) = self.queries.iter().cloned().partition(|query| {
            let budget = &query.body.service.budget;
            budget.with(|budget| budget.try_spend(now))
        });
        let mut direct = pin!(self.run_direct(paid));
        let mut ends = tokio::select! {
            end = &mut call => match end {
                Ok(Ok(answer)) => return self.answered(answer),
                _ => {
                    let (mut ends, rest) = tokio::join!(direct, self.run_direct(unpaid));
                    ends.extend(rest);
                    return ends;
                }
            },
            ends = &mut direct => ends,
        };
        ends.extend(self.await_rest(unpaid, call).await);
        ends
    }

    /// Sends the batch. The call goes on when nobody waits for it any more, so that its end still says whether
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
        context.owners.update(owner, |health| health.sent(now));
        tokio::spawn(async move {
            let call = context.peers.call(owner, patience, |client| async move {
                client.run_batch(batch).await
            });
            let result = call.await;
            let now = context.clock.now();
            context.owners.update(owner, |health| match result {
                Ok(_) => health.heard(now, true),
                Err(_) => health.given_up(now),
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
            self.ping();
            let now = self.context.clock.now();
            if self.context.owners.is_bypassed(self.owner, now) {
                return;
            }
        }
    }

    fn ping(&self) {
        let owner = self.owner;
        if !self.context.owners.begin_ping(owner) {
            return;
        }
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let patience = context.settings.peer_timeout;
            let ping =
                context
                    .peers
                    .call(owner, patience, |client| async move { client.ping().await });
            let answered = ping.await.is_ok();
            context.owners.end_ping(owner);
            if answered {
                let now = context.clock.now();
                context
                    .owners
                    .update(owner, |health| health.heard(now, false));
            }
        });
    }

    async fn ended(&self, end: Result<CallEnd, oneshot::error::RecvError>) -> Vec<PieceEnd> {
        match end {
            Ok(Ok(answer)) => self.answered(answer),
            Ok(Err(error)) => {
                self.note_bypass(&error.to_string());
                // The owner's answers are lost for certain, so these sub-requests are needed.
                self.run_direct(self.queries.clone()).await
            }
            Err(_) => self.end_all(MissingReason::Timeout, false),
        }
    }

    async fn await_rest(
        &self,
        unpaid: Vec<SubQuery>,
        call: oneshot::Receiver<CallEnd>,
    ) -> Vec<PieceEnd> {
        if unpaid.is_empty() {
            return Vec::new();
        }
        let is_unpaid = |end: &PieceEnd| unpaid.iter().any(|query| query.id == end.id);
        match call.await {
            Ok(Ok(answer)) => self
                .answered(answer)
                .into_iter()
                .filter(is_unpaid)
                .collect(),
            Ok(Err(_)) => self.run_direct(unpaid).await,
            Err(_) => self
                .end_all(MissingReason::Timeout, false)
                .into_iter()
                .filter(is_unpaid)
                .collect(),
        }
    }

    async fn run_direct(&self, queries: Vec<SubQuery>) -> Vec<PieceEnd> {
        let runs = queries.into_iter().map(|query| async {
            let (id, shard) = (query.id.clone(), Arc::clone(&query.shard));
            let mut outcome = SubRun::new(Arc::clone(&self.context), query).run().await;
            // The owner got the sub-request before, and may have run it.
            if outcome.outcome == AttemptOutcome::NotRun {
                outcome.outcome = AttemptOutcome::Unknown;
            }
            PieceEnd { id, shard, outcome }
        });
        join_all(runs).await
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
