use std::time::Duration;

use crate::ids::SlotCount;
use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

use super::{Displaced, UrgencyQueue};

/// What happens to an item offered to a `SlotQueue`. Items that are handed back must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotOffer<T> {
    /// A slot is free and now occupied: send the item.
    Start(T),
    /// The item waits.
    Queued,
    /// The item waits; the contained less urgent one lost its place.
    QueuedInstead(T),
    /// The queue is full of items that are at least as urgent.
    Full(T),
    /// The item cannot be answered before its deadline.
    Expired(T),
}

/// Items that leave a `SlotQueue` after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRelease<T> {
    /// Items to send; a slot is occupied for each.
    pub start: Vec<T>,
    /// Items whose deadline is too near; they must not be sent.
    pub expired: Vec<T>,
}

/// A bounded queue by urgency and deadline in front of the slots of a replica or shard.
#[derive(Clone, Debug)]
pub struct SlotQueue<T> {
    slots: u32,
    busy: u32,
    least_time: Duration,
    queue: UrgencyQueue<T>,
}

impl<T> SlotQueue<T> {
    /// A queue for `slots` with room for `capacity` waiting items.
    ///
    /// An item with less than `least_time` left is expired: no answer could arrive in time.
    pub fn new(slots: SlotCount, capacity: usize, least_time: Duration) -> Self {
        Self {
            slots: slots.get(),
            busy: 0,
            least_time,
            queue: UrgencyQueue::new(capacity),
        }
    }

    /// Number of occupied slots.
    pub fn busy_slots(&self) -> u32 {
        self.busy
    }

    /// Number of waiting items.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Offers an item; see `SlotOffer`.
    pub fn offer(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> SlotOffer<T> {
        if deadline <= now + self.least_time {
            return SlotOffer::Expired(item);
        }
        if self.busy < self.slots && self.queue.len() == 0 {
            self.busy += 1;
            return SlotOffer::Start(item);
        }
        match self.queue.push(urgency, deadline, item) {
            None => SlotOffer::Queued,
            Some((item, Displaced::Waiting)) => SlotOffer::QueuedInstead(item),
            Some((item, Displaced::Arrival)) => SlotOffer::Full(item),
        }
    }

    /// Occupies a free slot for a hedge or retry. Waiting items go first, so it fails while any waits.
    #[must_use]
    pub fn try_occupy(&mut self) -> bool {
        let free = self.busy < self.slots && self.queue.len() == 0;
        if free {
            self.busy += 1;
        }
        free
    }

    /// Frees a slot whose sub-request ended or was cancelled, and hands out waiting items.
    pub fn release_slot(&mut self, now: ClockTime) -> SlotRelease<T> {
        self.busy = self.busy.saturating_sub(1);
        self.advance(now)
    }

    /// Changes the number of slots. Items already sent keep theirs.
    pub fn set_slots(&mut self, now: ClockTime, slots: SlotCount) -> SlotRelease<T> {
        self.slots = slots.get();
        self.advance(now)
    }

    /// Hands out what `now` allows. Call it from time to time so that expired items do not hold places.
    pub fn advance(&mut self, now: ClockTime) -> SlotRelease<T> {
        let expired = self.queue.expire(|_| now + self.least_time);
        let mut start = Vec::new();
        while self.busy < self.slots {
            let Some((item, _)) = self.queue.pop() else {
                break;
            };
            self.busy += 1;
            start.push(item);
        }
        SlotRelease { start, expired }
    }

    /// Removes waiting items that are no longer wanted.
    pub fn withdraw(&mut self, matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.queue.withdraw(matches)
    }
}
