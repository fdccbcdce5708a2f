use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::{
    CapacityClaim, CapacityDecision, CapacityQueue, CapacityRelease, CapacityTicket,
    RejectionReason, SlotLoad,
};
use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::time::ClockTime;
use metrics::{counter, gauge, histogram};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

type GrantResult = Result<ConnectionGrant, RejectionReason>;
type GrantWaiter = oneshot::Sender<GrantResult>;

/// The connections that this instance may use at once to one upstream, and the queue of the attempts that wait for one.
pub(super) struct ConnectionQueue {
    queue: LockCell<CapacityQueue<GrantWaiter>>,
    clock: DaemonClock,
}

impl ConnectionQueue {
    /// Creates the queue for `max_connections` to an upstream with `slots`.
    pub(super) fn new(max_connections: usize, slots: SlotCount, clock: DaemonClock) -> Arc<Self> {
        let capacity = u32::try_from(max_connections).unwrap_or(u32::MAX);
        Arc::new(Self {
            queue: LockCell::new(CapacityQueue::new(capacity, slots.get())),
            clock,
        })
    }

    /// Takes a connection if one is free and no attempt waits.
    pub(super) fn try_acquire(self: &Arc<Self>) -> Option<ConnectionGrant> {
        let is_free = self.queue.with(CapacityQueue::try_take);
        is_free.then(|| self.create_grant(false, None))
    }

    /// Takes a connection for an attempt if it may go before all waiting ones.
    pub(super) fn try_acquire_for(
        self: &Arc<Self>,
        claim: &CapacityClaim,
    ) -> Option<ConnectionGrant> {
        let now = self.clock.now();
        let is_granted = self.queue.with(|queue| queue.try_take_for(now, claim));
        is_granted.then(|| self.create_grant(claim.has_higher, None))
    }

    /// Records the load that an answer of the upstream reports.
    pub(super) fn record_load(&self, now: ClockTime, load: SlotLoad) {
        self.queue.with(|queue| queue.record_load(now, load));
    }

    /// Waits for a connection until the deadline of `claim`. Dropping the future ends the wait.
    ///
    /// # Errors
    ///
    /// Fails if the attempt cannot be answered before its deadline. Nothing was sent then.
    pub(super) async fn acquire(self: &Arc<Self>, claim: CapacityClaim) -> GrantResult {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let decision = self.queue.with(|queue| queue.offer(now, claim, sender));
        let ticket = match decision {
            CapacityDecision::Granted(_) => return Ok(self.create_grant(claim.has_higher, None)),
            CapacityDecision::Rejected(_) => {
                record_rejection(&claim, RejectionReason::TooLate);
                return Err(RejectionReason::TooLate);
            }
            CapacityDecision::Queued(ticket) => ticket,
        };
        gauge!("anvilhub_connection_waiters").increment(1.0);
        let mut wait = GrantWait {
            receiver,
            ticket,
            queue: Arc::clone(self),
        };
        let result = match timeout(claim.deadline.since(now), &mut wait.receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(RejectionReason::Expired),
        };
        if let Err(reason) = result {
            record_rejection(&claim, reason);
        }
        let waited = self.clock.now().since(now);
        histogram!("anvilhub_connection_wait_seconds", "priority" => claim.priority.to_string())
            .record(waited.as_secs_f64());
        result
    }

    /// Returns the highest priority of the waiting attempts; `None` if none waits, or if the deployment's routes all have
    /// the same.
    pub(super) fn waiting_priority(&self) -> Option<u32> {
        self.queue.with(|queue| queue.waiting_priority())
    }

    /// Returns the number of waiting attempts.
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.with(|queue| queue.waiting_count())
    }

    fn create_grant(
        self: &Arc<Self>,
        has_higher: bool,
        passed_over: Option<Duration>,
    ) -> ConnectionGrant {
        ConnectionGrant {
            queue: Arc::clone(self),
            granted_at: self.clock.now(),
            has_higher,
            passed_over,
        }
    }

    fn release(self: &Arc<Self>, granted_at: ClockTime, has_higher: bool) {
        let now = self.clock.now();
        let held = now.since(granted_at);
        let release = self
            .queue
            .with(|queue| queue.release(now, held, has_higher));
        self.notify_waiters(release);
    }

    /// Notifies the waiters that got a connection or expired.
    ///
    /// The queue must not be locked: the grant for a waiter that was dropped is dropped here, which releases its
    /// connection to the next waiter.
    fn notify_waiters(self: &Arc<Self>, release: CapacityRelease<GrantWaiter>) {
        for waiter in release.expired {
            let _ = waiter.send(Err(RejectionReason::Expired));
        }
        for grant in release.granted {
            let connection = self.create_grant(grant.claim.has_higher, grant.passed_over);
            let _ = grant.item.send(Ok(connection));
        }
    }
}

/// Counts an attempt that got no connection.
fn record_rejection(claim: &CapacityClaim, reason: RejectionReason) {
    let labels = [
        ("priority", claim.priority.to_string()),
        ("reason", reason.to_string()),
    ];
    counter!("anvilhub_connection_rejections_total", &labels).increment(1);
}

/// The right to use one connection to the upstream. Dropping it gives the right to the next waiting attempt.
pub(super) struct ConnectionGrant {
    queue: Arc<ConnectionQueue>,
    granted_at: ClockTime,
    /// Whether it was granted to a route that shares the upstream with higher priorities.
    has_higher: bool,
    passed_over: Option<Duration>,
}

impl ConnectionGrant {
    /// Returns for how long the attempt's priority was passed over, if that reached the bound.
    pub(super) fn passed_over(&self) -> Option<Duration> {
        self.passed_over
    }
}

impl Drop for ConnectionGrant {
    fn drop(&mut self) {
        self.queue.release(self.granted_at, self.has_higher);
    }
}

/// A waiting attempt. Dropping it removes the attempt from the queue; a grant that has been sent to it is dropped with the
/// receiver, and so passes on to the next attempt.
struct GrantWait {
    receiver: oneshot::Receiver<GrantResult>,
    ticket: CapacityTicket,
    queue: Arc<ConnectionQueue>,
}

impl Drop for GrantWait {
    fn drop(&mut self) {
        gauge!("anvilhub_connection_waiters").decrement(1.0);
        let withdrawn = self.queue.queue.with(|queue| queue.withdraw(self.ticket));
        // Drops the sender after the lock is released.
        drop(withdrawn);
    }
}
