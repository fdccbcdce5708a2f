use std::collections::BTreeMap;

use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

/// All urgency classes, the most urgent first.
pub(crate) const URGENCY_CLASSES: [UrgencyClass; 3] = [
    UrgencyClass::Urgent,
    UrgencyClass::Standard,
    UrgencyClass::Deferred,
];

/// Position of an item in the queue: its urgency, its deadline and the number of items that arrived before it.
type QueueRank = (UrgencyClass, ClockTime, u64);

/// A bounded queue ordered by urgency, then deadline, then arrival.
#[derive(Clone, Debug)]
pub(crate) struct UrgencyQueue<T> {
    items: BTreeMap<QueueRank, T>,
    capacity: usize,
    arrival_count: u64,
}

impl<T> UrgencyQueue<T> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            items: BTreeMap::new(),
            capacity,
            arrival_count: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Adds an item. If the queue is full, returns the item that is dropped, which may be the added one.
    pub(crate) fn push(
        &mut self,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> Option<(T, DroppedItem)> {
        let rank = (urgency, deadline, self.arrival_count);
        self.arrival_count += 1;
        if self.items.len() < self.capacity {
            self.items.insert(rank, item);
            return None;
        }
        let last = self.items.keys().next_back();
        if last.is_none_or(|last| *last < rank) {
            return Some((item, DroppedItem::Arrival));
        }
        self.items.insert(rank, item);
        let (_, item) = self.items.pop_last()?;
        Some((item, DroppedItem::Waiting))
    }

    /// Removes the first item and returns it with its deadline.
    pub(crate) fn pop(&mut self) -> Option<(T, ClockTime)> {
        let ((_, deadline, _), item) = self.items.pop_first()?;
        Some((item, deadline))
    }

    /// Returns the number of items that leave the queue before a new item of `urgency` with `deadline`.
    pub(crate) fn count_ahead(&self, urgency: UrgencyClass, deadline: ClockTime) -> usize {
        self.items.range(..=(urgency, deadline, u64::MAX)).count()
    }

    /// Removes and returns the items whose deadline is not after the `limit` of their class.
    pub(crate) fn remove_expired(&mut self, limit: impl Fn(UrgencyClass) -> ClockTime) -> Vec<T> {
        let mut expired = Vec::new();
        for class in URGENCY_CLASSES {
            let first = (class, ClockTime(0), 0);
            let last = (class, limit(class), u64::MAX);
            while let Some((&rank, _)) = self.items.range(first..=last).next() {
                expired.extend(self.items.remove(&rank));
            }
        }
        expired
    }

    /// Removes and returns the items that match.
    pub(crate) fn withdraw(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.items
            .extract_if(.., |_, item| matches(item))
            .map(|(_, item)| item)
            .collect()
    }
}

/// The item that a full queue drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DroppedItem {
    /// The item that was to be added.
    Arrival,
    /// A waiting item, which the added one displaces.
    Waiting,
}
