use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhub_coord::gather::MissingReason;
use anvilhub_coord::routing::ReportedOutcome;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use log::info;
use metrics::counter;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::entry_context::EntryContext;
use crate::peer::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome, PeerApiClient};

use super::{
    SubRequestOrigin, SubRequestOutcome, SubRequestPlan, SubRequestResult, SubRequestRun,
    ping_owner, time_left_after_hop,
};

/// Interval at which a waiting call checks whether its owner still answers, and whether the retry budget allows a
/// direct attempt.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a call waits beyond its deadline: the owner answers at the deadline at the latest, and the answer
/// takes some time to arrive.
const CALL_GRACE: Duration = Duration::from_millis(20);

type CallResult = crate::peer::Result<BatchAnswer>;

/// One call that sends an owner all sub-requests of a request for the shards that it owns.
pub(super) struct BatchCall {
    pub(super) context: Arc<EntryContext>,
    pub(super) owner: SocketAddr,
    pub(super) plans: Vec<SubRequestPlan>,
}

impl BatchCall {
    /// Sends the call and waits for the answers of the owner. Bypasses the owner when it does not answer.
    pub(super) async fn run(self) -> Vec<SubRequestResult> {
        let Some(mut call) = self.start() else {
            return self.fail_all(MissingReason::Timeout, true);
        };
        tokio::select! {
            biased;
            result = &mut call => return self.handle_call_result(result).await,
            () = self.wait_for_silence() => {}
        }
        self.record_bypass("the owner is silent");
        self.run_bypassing(call).await
    }

    /// Sends the sub-requests of a silent owner directly. If the owner answers after all, its answers are used for
    /// the sub-requests that have not ended by then.
    async fn run_bypassing(
        &self,
        mut call: oneshot::Receiver<CallResult>,
    ) -> Vec<SubRequestResult> {
        let is_call_lost = AtomicBool::new(false);
        let plans = self.plans.iter().cloned();
        let mut direct: FuturesUnordered<_> = plans
            .map(|plan| self.run_within_budget(plan, &is_call_lost))
            .collect();
        let mut results: Vec<SubRequestResult> = Vec::new();
        loop {
            tokio::select! {
                call_result = &mut call, if !is_call_lost.load(Ordering::Relaxed) => match call_result {
                    Ok(Ok(answer)) => {
                        let remaining: Vec<_> = self
                            .results_from(answer)
                            .into_iter()
                            .filter(|result| results.iter().all(|direct| direct.id != result.id))
                            .collect();
                        results.extend(remaining);
                        return results;
                    }
                    _ => is_call_lost.store(true, Ordering::Relaxed),
                },
                result = direct.next() => match result {
                    Some(result) => results.push(result),
                    None => return results,
                },
            }
        }
    }

    /// Sends a sub-request directly once the retry budget allows it: the owner may only be slow, and then this is
    /// extra load. When the owner's answer is certainly lost, the sub-request is needed and sent without budget.
    async fn run_within_budget(
        &self,
        plan: SubRequestPlan,
        is_call_lost: &AtomicBool,
    ) -> SubRequestResult {
        loop {
            let now = self.context.clock.now();
            let is_needed = is_call_lost.load(Ordering::Relaxed) || now >= plan.request.deadline;
            let budget = &plan.request.service.budget;
            if is_needed || budget.with(|budget| budget.try_spend(now)) {
                return self.run_direct(plan).await;
            }
            sleep(HEALTH_POLL_INTERVAL).await;
        }
    }

    /// Sends the batch, unless no time is left. The call goes on when nothing waits for it any more, because its
    /// result still shows whether the owner answers.
    fn start(&self) -> Option<oneshot::Receiver<CallResult>> {
        let now = self.context.clock.now();
        let deadline = self.plans.first()?.request.deadline;
        let deadline_ms = time_left_after_hop(now, deadline)?;
        let items = self.plans.iter().map(|plan| BatchItem {
            shard: plan.shard.name.clone(),
            urgency: plan.request.urgency,
            request: plan.to_message(plan.id.clone(), deadline_ms),
        });
        let batch = BatchMessage {
            from: self.context.settings.instance.clone(),
            items: items.collect(),
        };
        let context = Arc::clone(&self.context);
        let owner = self.owner;
        let timeout = deadline.since(now) + CALL_GRACE;
        let (sender, receiver) = oneshot::channel();
        context
            .owners
            .update(owner, |health| health.record_send(now));
        for plan in &self.plans {
            let budget = &plan.request.service.budget;
            budget.with(|budget| budget.earn_as_sender(now));
        }
        tokio::spawn(async move {
            let call = context.peers.call(owner, timeout, |client| async move {
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

    /// Waits until the owner is silent. A batch may have to wait for slots, so the owner is pinged meanwhile.
    async fn wait_for_silence(&self) {
        loop {
            sleep(HEALTH_POLL_INTERVAL).await;
            ping_owner(&self.context, self.owner);
            let now = self.context.clock.now();
            if self.context.owners.is_bypassed(self.owner, now) {
                return;
            }
        }
    }

    async fn handle_call_result(
        &self,
        result: Result<CallResult, oneshot::error::RecvError>,
    ) -> Vec<SubRequestResult> {
        match result {
            Ok(Ok(answer)) => self.results_from(answer),
            Ok(Err(error)) => {
                self.record_bypass(&error.to_string());
                // The owner's answers are certainly lost, so the sub-requests are needed and use no budget.
                let plans = self.plans.iter().cloned();
                join_all(plans.map(|plan| self.run_direct(plan))).await
            }
            Err(_) => self.fail_all(MissingReason::Timeout, false),
        }
    }

    async fn run_direct(&self, plan: SubRequestPlan) -> SubRequestResult {
        let (id, shard) = (plan.id.clone(), Arc::clone(&plan.shard));
        let run = SubRequestRun::new(Arc::clone(&self.context), plan, SubRequestOrigin::Resent);
        let mut outcome = run.run().await;
        // The owner received the sub-request before and may have run it.
        if outcome.reported_outcome == ReportedOutcome::NotRun {
            outcome.reported_outcome = ReportedOutcome::Unknown;
        }
        SubRequestResult { id, shard, outcome }
    }

    fn results_from(&self, answer: BatchAnswer) -> Vec<SubRequestResult> {
        if answer.outcomes.len() != self.plans.len() {
            return self.fail_all(MissingReason::BadAnswer, false);
        }
        let outcomes = self.plans.iter().zip(answer.outcomes);
        outcomes
            .map(|(plan, outcome)| sub_request_result(plan, outcome))
            .collect()
    }

    fn fail_all(&self, reason: MissingReason, is_not_run: bool) -> Vec<SubRequestResult> {
        let missing = BatchOutcome::Missing {
            reason,
            held: Vec::new(),
            not_run: is_not_run,
        };
        let plans = self.plans.iter();
        plans
            .map(|plan| sub_request_result(plan, missing.clone()))
            .collect()
    }

    fn record_bypass(&self, reason: &str) {
        let request_id = self.plans.first().map(|plan| &plan.request.request_id);
        if let Some(request_id) = request_id {
            info!(request_id:% = request_id, owner:% = self.owner, reason; "owner bypassed");
        }
        counter!("anvilhub_owner_bypasses_total").increment(1);
    }
}

/// Converts an outcome from the owner.
///
/// The message does not name the replica that answered, so the held snapshots in it are recorded for every replica
/// of the shard: the owner chooses among them.
fn sub_request_result(plan: &SubRequestPlan, outcome: BatchOutcome) -> SubRequestResult {
    let (result, held, reported_outcome) = match outcome {
        BatchOutcome::Answered(answer) => {
            let held = answer.held.clone();
            (Ok(answer), held, ReportedOutcome::Done)
        }
        BatchOutcome::Missing {
            reason,
            held,
            not_run,
        } => {
            let reported_outcome = match not_run {
                true => ReportedOutcome::NotRun,
                false => ReportedOutcome::Unknown,
            };
            (Err(reason), held, reported_outcome)
        }
    };
    let replicas = plan.shard.replicas.iter();
    let held = match held.is_empty() {
        true => Vec::new(),
        false => replicas
            .map(|replica| {
                replica
                    .state
                    .with(|state| state.held_snapshots = Some(held.clone()));
                (replica.spec.id.clone(), held.clone())
            })
            .collect(),
    };
    SubRequestResult {
        id: plan.id.clone(),
        shard: Arc::clone(&plan.shard),
        outcome: SubRequestOutcome {
            result,
            held_snapshots: held,
            reported_outcome,
        },
    }
}
