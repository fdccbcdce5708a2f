use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{CancelRequest, RefusalReason, SubAnswer};
use anvilhub_coord::ids::RequestId;
use anvilhub_coord::routing::{AttemptState, LeavingSignal};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::entry_context::EntryContext;
use crate::pool::{ConnectionLease, PoolError, has_ended};
use crate::routes::{SlotGuard, UpstreamRoute};

use super::{SubRequestPlan, time_left_after_hop};

/// Time for which a cancelled attempt may still end normally, so that its connection can be used again. Also the
/// maximum time of the request that cancels it.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of one attempt.
pub(super) struct AttemptResult {
    /// Index of the attempt in its sub-request, from zero.
    pub(super) index: usize,
    pub(super) result: Result<SubAnswer, PoolError>,
    /// The slot of the attempt, which a retry reuses.
    pub(super) slot: Option<SlotGuard>,
}

impl AttemptResult {
    /// Returns the final state of the attempt.
    pub(super) fn state(&self) -> AttemptState {
        match &self.result {
            Ok(_) => AttemptState::Answered,
            Err(PoolError::Unconnected { .. } | PoolError::Unsent { .. }) => {
                AttemptState::ConnectFailed
            }
            Err(PoolError::Refused { .. }) => AttemptState::Refused,
            Err(PoolError::Broken { .. }) => AttemptState::Broken,
            Err(PoolError::Timeout { .. }) => AttemptState::TimedOut,
            Err(
                PoolError::BadAnswer { .. }
                | PoolError::OversizedAnswer { .. }
                | PoolError::ExhaustedBuffer { .. },
            ) => AttemptState::BadAnswer,
        }
    }
}

/// One attempt to run a sub-request at an upstream.
///
/// It runs in a task of its own. When the receiver of its result is dropped, it is cancelled at the upstream.
pub(super) struct SubRequestAttempt {
    pub(super) context: Arc<EntryContext>,
    pub(super) plan: SubRequestPlan,
    pub(super) upstream: Arc<UpstreamRoute>,
    pub(super) id: RequestId,
    /// The slot, held until the upstream has finished.
    pub(super) slot: Option<SlotGuard>,
    /// Index of the attempt in its sub-request, from zero.
    pub(super) index: usize,
}

impl SubRequestAttempt {
    /// Starts the attempt, and returns the receiver of its result.
    pub(super) fn start(self) -> oneshot::Receiver<AttemptResult> {
        let (sender, receiver) = oneshot::channel();
        self.upstream.state.with(|state| state.view.record_send());
        tokio::spawn(self.run(sender));
        receiver
    }

    /// Gets a connection and makes the attempt on it.
    async fn run(self, mut sender: oneshot::Sender<AttemptResult>) {
        let started_at = self.context.clock.now();
        let time_left = self.plan.request.deadline.since(started_at);
        let repeat_policy = match self.plan.request.is_idempotent {
            true => RepeatPolicy::Idempotent,
            false => RepeatPolicy::NonIdempotent,
        };
        let address = self.upstream.spec.address;
        let acquire = async {
            // After a pause of the process, nothing is sent before the sheet is confirmed again.
            match self.context.confirm_sheet(self.plan.request.deadline).await {
                true => {
                    self.context
                        .pool
                        .acquire(address, repeat_policy, time_left)
                        .await
                }
                false => Err(unsent(address, "the sheet in force is not confirmed")),
            }
        };
        let lease = tokio::select! {
            lease = acquire => lease,
            () = sender.closed() => return self.record_cancelled(started_at),
        };
        match lease {
            Ok(lease) => self.exchange(lease, sender, started_at).await,
            Err(error) => self.finish(sender, started_at, Err(error)),
        }
    }

    /// Sends the sub-request on the leased connection and finishes the attempt, or cancels it when its receiver is
    /// dropped.
    async fn exchange(
        mut self,
        lease: ConnectionLease,
        mut sender: oneshot::Sender<AttemptResult>,
        started_at: ClockTime,
    ) {
        let address = self.upstream.spec.address;
        let now = self.context.clock.now();
        let deadline = self.plan.request.deadline;
        let deadline_ms = match time_left_after_hop(now, deadline) {
            Some(deadline_ms) if !self.context.was_paused_since(started_at) => deadline_ms,
            unusable => {
                lease.return_unused();
                let reason = match unusable {
                    Some(_) => "the process was paused before a connection was ready",
                    None => "no time was left when a connection was ready",
                };
                return self.finish(sender, started_at, Err(unsent(address, reason)));
            }
        };
        let message = self.plan.to_message(self.id.clone(), deadline_ms);
        let exchange = lease.query(&message, self.context.pool.max_answer_size());
        let mut exchange = pin!(exchange);
        let result = tokio::select! {
            result = timeout(deadline.since(now), &mut exchange) => result,
            () = sender.closed() => {
                let cancel = async {
                    self.cancel().await;
                    drop(self.slot.take());
                };
                let (_, result) = tokio::join!(cancel, timeout(CANCEL_TIMEOUT, exchange));
                if let Ok(result) = result {
                    self.record_announcement(&result);
                }
                return self.record_cancelled(started_at);
            }
        };
        let result = result.unwrap_or(Err(PoolError::Timeout { address }));
        self.record_crash(now, &result).await;
        self.finish(sender, started_at, result);
    }

    /// Records whether the upstream crashed under a sub-request sent at `sent_at`, or ran it to its end.
    async fn record_crash(&self, sent_at: ClockTime, result: &Result<SubAnswer, PoolError>) {
        let crashes = &self.context.crashes;
        let fingerprint = self.plan.request.fingerprint;
        match result {
            Ok(_) => crashes.record_completion(fingerprint),
            Err(PoolError::Broken { address, .. }) if has_ended(*address).await => {
                crashes.record_crash(fingerprint, &self.upstream.spec.id, sent_at);
            }
            Err(_) => {}
        }
    }

    /// Asks the upstream on another connection to stop. Best effort: the number of concurrent cancellations is
    /// limited, and an answer is only awaited for a short time.
    async fn cancel(&self) {
        let Ok(_permit) = self.context.cancel_permits.try_acquire() else {
            return;
        };
        let pool = &self.context.pool;
        let address = self.upstream.spec.address;
        let message = CancelRequest {
            request_id: self.id.clone(),
        };
        let cancel = async {
            let lease = pool
                .acquire(address, RepeatPolicy::Idempotent, CANCEL_TIMEOUT)
                .await?;
            lease.cancel(&message).await
        };
        let _ = timeout(CANCEL_TIMEOUT, cancel).await;
    }

    /// Records that the upstream says that it is leaving, in an answer that is not used otherwise.
    fn record_announcement(&self, result: &Result<SubAnswer, PoolError>) {
        let signal = match result {
            Ok(answer) if answer.draining => LeavingSignal::Answer,
            Err(PoolError::Refused { refusal })
                if refusal.draining || refusal.reason == RefusalReason::Draining =>
            {
                LeavingSignal::Refusal
            }
            _ => return,
        };
        self.upstream.mark_leaving(self.context.clock.now(), signal);
    }

    /// Records the end of a cancelled attempt.
    fn record_cancelled(self, started_at: ClockTime) {
        let now = self.context.clock.now();
        let waited = now.since(started_at);
        self.upstream
            .state
            .with(|state| state.view.record_cancellation(now, waited));
        self.record_latency(waited);
    }

    /// Records the result of the attempt, and sends it to the receiver.
    fn finish(
        self,
        sender: oneshot::Sender<AttemptResult>,
        started_at: ClockTime,
        result: Result<SubAnswer, PoolError>,
    ) {
        let now = self.context.clock.now();
        let waited = now.since(started_at);
        match &result {
            Ok(answer) => self.upstream.record_answer(now, started_at, answer),
            Err(PoolError::Refused { refusal }) => self.upstream.record_refusal(now, refusal),
            Err(PoolError::Unsent { .. }) => {
                self.upstream.state.with(|state| state.view.revert_send())
            }
            Err(error) => {
                self.upstream
                    .state
                    .with(|state| state.view.record_failure(now, waited));
                if matches!(error, PoolError::Unconnected { .. }) {
                    self.upstream.record_unreachable();
                }
            }
        }
        if result.is_ok() {
            self.record_latency(waited);
        }
        let attempt_result = AttemptResult {
            index: self.index,
            result,
            slot: self.slot,
        };
        // If the receiver was dropped meanwhile, the slot is released here.
        let _ = sender.send(attempt_result);
    }

    /// Records the latency of a first attempt, from which hedge delays are computed.
    ///
    /// A first attempt that was cancelled counts with the time until then: without the slow attempts, hedges
    /// would be sent earlier and earlier.
    fn record_latency(&self, latency: Duration) {
        if self.index != 0 {
            return;
        }
        let now = self.context.clock.now();
        let windows = [
            &self.plan.shard.latencies,
            &self.plan.request.service.latencies,
        ];
        for window in windows {
            window.with(|window| window.record(now, latency));
        }
    }
}

/// Creates the error of an attempt that was not sent.
fn unsent(address: SocketAddr, reason: &str) -> PoolError {
    PoolError::Unsent {
        address,
        reason: reason.to_owned(),
    }
}
