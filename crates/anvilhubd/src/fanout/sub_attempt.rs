use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{CancelRequest, SubAnswer};
use anvilhub_coord::ids::RequestId;
use anvilhub_coord::routing::AttemptState;
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::context::EntryContext;
use crate::pool::{ConnectionLease, PoolError};
use crate::routes::{SlotGuard, UpstreamRoute};

use super::{SubQuery, after_hop};

/// Time that an abandoned sub-request has to end, so that its connection can be used again.
const ABANDON_WAIT: Duration = Duration::from_millis(50);

/// How one attempt ended.
pub(super) struct AttemptEnd {
    pub(super) index: usize,
    pub(super) result: Result<SubAnswer, PoolError>,
    /// The slot, which a retry uses.
    pub(super) slot: Option<SlotGuard>,
}

impl AttemptEnd {
    pub(super) fn state(&self) -> AttemptState {
        match &self.result {
            Ok(_) => AttemptState::Answered,
            Err(PoolError::Unconnected { .. } | PoolError::Unsent { .. }) => {
                AttemptState::ConnectFailed
            }
            Err(PoolError::Refused { .. }) => AttemptState::Refused,
            Err(PoolError::Broken { .. }) => AttemptState::Broken,
            Err(PoolError::Timeout { .. }) => AttemptState::TimedOut,
            Err(PoolError::BadAnswer { .. } | PoolError::OversizedAnswer { .. }) => {
                AttemptState::BadAnswer
            }
        }
    }
}

/// One attempt to run a sub-request at an upstream.
///
/// It runs as a task of its own. When nobody waits for its end any more it is cancelled at the upstream.
pub(super) struct SubAttempt {
    pub(super) context: Arc<EntryContext>,
    pub(super) query: SubQuery,
    pub(super) upstream: Arc<UpstreamRoute>,
    pub(super) id: RequestId,
    /// Held until the upstream is done.
    pub(super) slot: Option<SlotGuard>,
    pub(super) index: usize,
}

impl SubAttempt {
    pub(super) fn start(self) -> oneshot::Receiver<AttemptEnd> {
        let (done, receiver) = oneshot::channel();
        self.upstream.state.with(|state| state.view.record_send());
        tokio::spawn(self.run(done));
        receiver
    }

    async fn run(self, mut done: oneshot::Sender<AttemptEnd>) {
        let sent = self.context.clock.now();
        let left = self.query.body.deadline.since(sent);
        let repeat = match self.query.body.idempotent {
            true => RepeatPolicy::Idempotent,
            false => RepeatPolicy::NonIdempotent,
        };
        let address = self.upstream.spec.address;
        let acquire = async {
            // After a pause nothing is sent by what was believed before it.
            match self.context.confirm_sheet(self.query.body.deadline).await {
                true => self.context.pool.acquire(address, repeat, left).await,
                false => Err(unsent(address, "the sheet in force is not confirmed")),
            }
        };
        let lease = tokio::select! {
            lease = acquire => lease,
            () = done.closed() => return self.withdraw(sent),
        };
        match lease {
            Ok(lease) => self.exchange(lease, done, sent).await,
            Err(error) => self.end(done, sent, Err(error)),
        }
    }

    async fn exchange(
        mut self,
        lease: ConnectionLease,
        mut done: oneshot::Sender<AttemptEnd>,
        sent: ClockTime,
    ) {
        let address = self.upstream.spec.address;
        let now = self.context.clock.now();
        let deadline = self.query.body.deadline;
        let deadline_ms = match after_hop(now, deadline) {
            Some(deadline_ms) if !self.context.was_paused_since(sent) => deadline_ms,
            late => {
                lease.rest();
                let reason = match late {
                    Some(_) => "the process was paused before a connection was ready",
                    None => "no time was left when a connection was ready",
                };
                return self.end(done, sent, Err(unsent(address, reason)));
            }
        };
        let message = self.query.message(self.id.clone(), deadline_ms);
        let exchange = lease.query(&message, self.context.pool.max_answer());
        let mut exchange = pin!(exchange);
        let result = tokio::select! {
            result = timeout(deadline.since(now), &mut exchange) => result,
            () = done.closed() => {
                let cancel = async {
                    self.cancel().await;
                    drop(self.slot.take());
                };
                let (_, result) = tokio::join!(cancel, timeout(ABANDON_WAIT, exchange));
                drop(result);
                return self.withdraw(sent);
            }
        };
        self.end(
            done,
            sent,
            result.unwrap_or(Err(PoolError::Timeout { address })),
        );
    }

    /// Asks the upstream on another connection to stop. Best effort: a few cancellations run at once, and
    /// an upstream that does not answer is not waited for.
    async fn cancel(&self) {
        let Ok(_permit) = self.context.cancels.try_acquire() else {
            return;
        };
        let pool = &self.context.pool;
        let address = self.upstream.spec.address;
        let message = CancelRequest {
            request_id: self.id.clone(),
        };
        let cancel = async {
            let lease = pool
                .acquire(address, RepeatPolicy::Idempotent, ABANDON_WAIT)
                .await?;
            lease.cancel(&message).await
        };
        let _ = timeout(ABANDON_WAIT, cancel).await;
    }

    /// Ends an attempt whose answer nobody waits for.
    fn withdraw(self, sent: ClockTime) {
        let waited = self.context.clock.now().since(sent);
        self.upstream
            .state
            .with(|state| state.view.record_cancellation(waited));
        self.record_latency(waited);
    }

    fn end(
        self,
        done: oneshot::Sender<AttemptEnd>,
        sent: ClockTime,
        result: Result<SubAnswer, PoolError>,
    ) {
        let now = self.context.clock.now();
        let waited = now.since(sent);
        match &result {
            Ok(answer) => self.upstream.answered(now, sent, answer),
            Err(PoolError::Refused { refusal }) => self.upstream.refused(now, refusal),
            Err(PoolError::Unsent { .. }) => {
                self.upstream.state.with(|state| state.view.revert_send())
            }
            Err(error) => {
                self.upstream
                    .state
                    .with(|state| state.view.record_failure(waited));
                if matches!(error, PoolError::Unconnected { .. }) {
                    self.upstream.absent();
                }
            }
        }
        if result.is_ok() {
            self.record_latency(waited);
        }
        let end = AttemptEnd {
            index: self.index,
            result,
            slot: self.slot,
        };
        // The request may have ended meanwhile; the slot is free then.
        let _ = done.send(end);
    }

    /// Hedges are due by the latency of first attempts. One that lost counts with the time until it was given
    /// up: leaving the slow ones out would make hedges due ever earlier.
    fn record_latency(&self, latency: Duration) {
        if self.index != 0 {
            return;
        }
        let now = self.context.clock.now();
        let windows = [
            &self.query.shard.latencies,
            &self.query.body.service.latencies,
        ];
        for window in windows {
            window.with(|window| window.record(now, latency));
        }
    }
}

/// The end of an attempt that was not sent.
fn unsent(address: SocketAddr, reason: &str) -> PoolError {
    PoolError::Unsent {
        address,
        reason: reason.to_owned(),
    }
}
