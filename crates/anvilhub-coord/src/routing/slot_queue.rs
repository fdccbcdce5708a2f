use std::time::Duration;

use crate::ids::SlotCount;
use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

use super::{DroppedItem, UrgencyQueue};

/// Decision about an item that is offered to a `SlotQueue`. Only an item returned in `Start` may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision<T> {
    /// The item occupies a slot that was free: send it.
    Start(T),
    /// The item was queued.
    Queued,
    /// The item was queued and displaced the contained, less urgent one.
    Displaced(T),
    /// The item was rejected: the queue is full of items that are at least as urgent.
    Full(T),
    /// The item was rejected: it cannot be answered before its deadline.
    Expired(T),
}

/// Items that leave a `SlotQueue` after a slot became free or time passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRelease<T> {
    /// Items to send; each occupies a slot.
    pub to_start: Vec<T>,
    /// Expired items, which must not be sent.
    pub expired: Vec<T>,
}

/// A bounded queue, ordered by urgency and deadline, for the slots of a replica or shard.
#[derive(Clone, Debug)]
pub struct SlotQueue<T> {
    slot_count: u32,
    busy_count: u32,
    min_time_left: Duration,
    queue: UrgencyQueue<T>,
}

impl<T> SlotQueue<T> {
    /// Creates a queue for `slots` slots and at most `capacity` waiting items.
    ///
    /// An item counts as expired if no more than `min_time_left` remains until its deadline, since no answer could
    /// arrive in time.
    pub fn new(slots: SlotCount, capacity: usize, min_time_left: Duration) -> Self {
        Self {
            slot_count: slots.get(),
            busy_count: 0,
            min_time_left,
            queue: UrgencyQueue::new(capacity),
        }
    }

    /// Returns the number of occupied slots.
    pub fn busy_slots(&self) -> u32 {
        self.busy_count
    }

    /// Returns the number of waiting items.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Starts, queues or rejects an item.
    pub fn offer(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> SlotDecision<T> {
        if deadline <= now + self.min_time_left {
            return SlotDecision::Expired(item);
        }
        if self.busy_count < self.slot_count && self.queue.len() == 0 {
            self.busy_count += 1;
            return SlotDecision::Start(item);
        }
        match self.queue.push(urgency, deadline, item) {
            None => SlotDecision::Queued,
            Some((item, DroppedItem::Waiting)) => SlotDecision::Displaced(item),
            Some((item, DroppedItem::Arrival)) => SlotDecision::Full(item),
        }
    }

    /// Occupies a free slot for a hedge or retry. Waiting items take precedence: returns `false` while any waits.
    #[must_use]
    pub fn try_occupy_slot(&mut self) -> bool {
        let has_free_slot = self.busy_count < self.slot_count && self.queue.len() == 0;
        if has_free_slot {
            self.busy_count += 1;
        }
        has_free_slot
    }

    /// Frees a slot whose sub-request ended or was cancelled, and starts waiting items.
    pub fn release_slot(&mut self, now: ClockTime) -> SlotRelease<T> {
        self.busy_count = self.busy_count.saturating_sub(1);
        self.advance(now)
    }

    /// Changes the number of slots and starts waiting items. Items already sent keep their slots.
    pub fn set_slots(&mut self, now: ClockTime, slots: SlotCount) -> SlotRelease<T> {
        self.slot_count = slots.get();
        self.advance(now)
    }

    /// Removes expired items and starts waiting ones. Call this periodically so that expired items do not take up
    /// capacity.
    pub fn advance(&mut self, now: ClockTime) -> SlotRelease<T> {
        let expired = self.queue.remove_expired(|_| now + self.min_time_left);
        let mut to_start = Vec::new();
        while self.busy_count < self.slot_count {
            let Some((item, _)) = self.queue.pop() else {
                break;
            };
            self.busy_count += 1;
            to_start.push(item);
        }
        SlotRelease { to_start, expired }
    }

    /// Removes and returns the waiting items that match.
    pub fn withdraw(&mut self, matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.queue.withdraw(matches)
    }
}
