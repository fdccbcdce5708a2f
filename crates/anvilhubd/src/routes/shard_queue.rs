use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::{SlotDecision, SlotQueue, SlotRelease};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;

use super::LockCell;

/// Maximum number of sub-requests that wait for the slots of one shard.
const QUEUE_CAPACITY: usize = 256;
/// Minimum time left for a sub-request to start: a round trip to another failure domain and a short service time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(6);

/// Why a sub-request was not given a slot. It was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// Too little time is left until its deadline.
    Expired,
    /// The queue is full of sub-requests that are at least as urgent.
    Full,
}

type SlotResult = Result<SlotGuard, SlotRefusal>;
type SlotWaiter = oneshot::Sender<SlotResult>;

/// The slots of a shard that this instance may use, and the queue of the sub-requests that wait for one.
pub(crate) struct ShardQueue {
    queue: LockCell<SlotQueue<SlotWaiter>>,
    clock: DaemonClock,
}

impl ShardQueue {
    pub(crate) fn new(slots: SlotCount, clock: DaemonClock) -> Arc<Self> {
        let queue = SlotQueue::new(slots, QUEUE_CAPACITY, MIN_TIME_LEFT);
        Arc::new(Self {
            queue: LockCell::new(queue),
            clock,
        })
    }

    /// Waits for a slot. Dropping the future removes the sub-request from the queue.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or too little time is left until the deadline. Nothing was sent then.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        urgency: UrgencyClass,
        deadline: ClockTime,
    ) -> SlotResult {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let decision = self
            .queue
            .with(|queue| queue.offer(now, urgency, deadline, sender));
        match decision {
            SlotDecision::Start(_) => return Ok(self.create_guard()),
            SlotDecision::Queued => {}
            SlotDecision::Displaced(displaced) => refuse(displaced, SlotRefusal::Full),
            SlotDecision::Full(_) => return Err(SlotRefusal::Full),
            SlotDecision::Expired(_) => return Err(SlotRefusal::Expired),
        }
        let mut wait = SlotWait {
            receiver,
            queue: Arc::clone(self),
        };
        // The queue removes expired items only when it is advanced, so the wait has a timeout of its own that
        // leaves time to answer `not_run`.
        let max_wait = deadline.since(now).saturating_sub(MIN_TIME_LEFT);
        match timeout(max_wait, &mut wait.receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(SlotRefusal::Expired),
        }
    }

    /// Takes a free slot for a hedge, unless a sub-request is waiting for one.
    pub(crate) fn try_acquire_slot(self: &Arc<Self>) -> Option<SlotGuard> {
        let is_free = self.queue.with(SlotQueue::try_occupy_slot);
        is_free.then(|| self.create_guard())
    }

    /// Sets the number of slots, and starts the sub-requests for which slots became free.
    pub(crate) fn set_slots(self: &Arc<Self>, slots: SlotCount) {
        let now = self.clock.now();
        let release = self.queue.with(|queue| queue.set_slots(now, slots));
        self.notify_waiters(release);
    }

    /// Returns the number of busy slots and of waiting sub-requests.
    pub(crate) fn counts(&self) -> (u32, usize) {
        self.queue
            .with(|queue| (queue.busy_slots(), queue.waiting_count()))
    }

    /// Returns the number of waiting sub-requests.
    pub(crate) fn waiting_count(&self) -> usize {
        self.queue.with(|queue| queue.waiting_count())
    }

    fn create_guard(self: &Arc<Self>) -> SlotGuard {
        SlotGuard(Arc::clone(self))
    }

    fn release_slot(self: &Arc<Self>) {
        let now = self.clock.now();
        let release = self.queue.with(|queue| queue.release_slot(now));
        self.notify_waiters(release);
    }

    /// Notifies the waiters that got a slot or expired.
    ///
    /// The queue must not be locked: sending to a dropped waiter drops the guard, which releases the slot again.
    fn notify_waiters(self: &Arc<Self>, release: SlotRelease<SlotWaiter>) {
        for waiter in release.expired {
            refuse(waiter, SlotRefusal::Expired);
        }
        for waiter in release.to_start {
            let _ = waiter.send(Ok(self.create_guard()));
        }
    }
}

fn refuse(waiter: SlotWaiter, refusal: SlotRefusal) {
    // The waiter may have been dropped meanwhile.
    let _ = waiter.send(Err(refusal));
}

/// An occupied slot. Dropping it gives the slot to the next waiting sub-request.
pub(crate) struct SlotGuard(Arc<ShardQueue>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release_slot();
    }
}

/// A queued sub-request. Dropping it removes the sub-request from the queue.
struct SlotWait {
    receiver: oneshot::Receiver<SlotResult>,
    queue: Arc<ShardQueue>,
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.receiver.close();
        let withdrawn = self
            .queue
            .queue
            .with(|queue| queue.withdraw(SlotWaiter::is_closed));
        // Drops the waiter after the lock is released.
        drop(withdrawn);
    }
}
