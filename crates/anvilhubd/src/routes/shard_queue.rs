use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::{SlotOffer, SlotQueue, SlotRelease};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::DaemonClock;

use super::RouteCell;

/// Sub-requests that may wait for the slots of one shard.
const QUEUE_CAPACITY: usize = 256;
/// Least time that a sub-request needs: the round trip to another failure domain and a short service time.
const LEAST_TIME: Duration = Duration::from_millis(6);

/// Why a sub-request got no slot; it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// Its deadline is too near.
    Expired,
    /// The queue is full of sub-requests that are at least as urgent.
    Full,
}

type SlotAnswer = Result<SlotGuard, SlotRefusal>;
type SlotWaiter = oneshot::Sender<SlotAnswer>;

/// The queue in front of a shard's slots.
pub(crate) struct ShardQueue {
    queue: RouteCell<SlotQueue<SlotWaiter>>,
    clock: DaemonClock,
}

impl ShardQueue {
    pub(crate) fn new(slots: SlotCount, clock: DaemonClock) -> Arc<Self> {
        let queue = SlotQueue::new(slots, QUEUE_CAPACITY, LEAST_TIME);
        Arc::new(Self {
            queue: RouteCell::new(queue),
            clock,
        })
    }

    /// Waits for a slot. A dropped wait is withdrawn.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        urgency: UrgencyClass,
        deadline: ClockTime,
    ) -> SlotAnswer {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let offer = self
            .queue
            .with(|queue| queue.offer(now, urgency, deadline, sender));
        match offer {
            SlotOffer::Start(_) => return Ok(self.guard()),
            SlotOffer::Queued => {}
            SlotOffer::QueuedInstead(displaced) => refuse(displaced, SlotRefusal::Full),
            SlotOffer::Full(_) => return Err(SlotRefusal::Full),
            SlotOffer::Expired(_) => return Err(SlotRefusal::Expired),
        }
        let mut wait = SlotWait {
            receiver,
            queue: Arc::clone(self),
        };
        // The queue expires items when it is advanced; the wait itself ends in time to answer `not_run`.
        let left = deadline.since(now).saturating_sub(LEAST_TIME);
        match timeout(left, &mut wait.receiver).await {
            Ok(Ok(answer)) => answer,
            _ => Err(SlotRefusal::Expired),
        }
    }

    /// Takes a free slot for a hedge, unless a sub-request waits for it.
    pub(crate) fn try_enter(self: &Arc<Self>) -> Option<SlotGuard> {
        let free = self.queue.with(SlotQueue::try_occupy);
        free.then(|| self.guard())
    }

    pub(crate) fn set_slots(self: &Arc<Self>, slots: SlotCount) {
        let now = self.clock.now();
        let release = self.queue.with(|queue| queue.set_slots(now, slots));
        self.hand_out(release);
    }

    /// Sub-requests in the slots, and those that wait.
    pub(crate) fn lengths(&self) -> (u32, usize) {
        self.queue
            .with(|queue| (queue.busy_slots(), queue.waiting_count()))
    }

    fn guard(self: &Arc<Self>) -> SlotGuard {
        SlotGuard(Arc::clone(self))
    }

    fn release(self: &Arc<Self>) {
        let now = self.clock.now();
        let release = self.queue.with(|queue| queue.release_slot(now));
        self.hand_out(release);
    }

    /// Runs without the lock: a waiter that is gone drops its guard, which releases the slot again.
    fn hand_out(self: &Arc<Self>, release: SlotRelease<SlotWaiter>) {
        for waiter in release.expired {
            refuse(waiter, SlotRefusal::Expired);
        }
        for waiter in release.start {
            let _ = waiter.send(Ok(self.guard()));
        }
    }
}

fn refuse(waiter: SlotWaiter, refusal: SlotRefusal) {
    // The waiter may be gone already.
    let _ = waiter.send(Err(refusal));
}

/// An occupied slot; dropping it hands the slot to the next one.
pub(crate) struct SlotGuard(Arc<ShardQueue>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}

struct SlotWait {
    receiver: oneshot::Receiver<SlotAnswer>,
    queue: Arc<ShardQueue>,
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.receiver.close();
        let gone = self
            .queue
            .queue
            .with(|queue| queue.withdraw(SlotWaiter::is_closed));
        drop(gone);
    }
}
