use std::collections::BTreeMap;

use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

/// All urgency classes, the most urgent first.
pub(crate) const URGENCY_CLASSES: [UrgencyClass; 3] = [
    UrgencyClass::Urgent,
    UrgencyClass::Standard,
    UrgencyClass::Deferred,
];

/// Position of an item in the queue: its class, its deadline and the number of items that arrived before it.
pub(crate) type QueueRank<C = UrgencyClass> = (C, ClockTime, u64);

/// A bounded queue ordered by class, then deadline, then arrival. The class is the urgency in the product's own
/// interface; the gateway has its own classes.
#[derive(Clone, Debug)]
pub(crate) struct UrgencyQueue<T, C = UrgencyClass> {
    items: BTreeMap<QueueRank<C>, T>,
    capacity: usize,
    arrival_count: u64,
}

impl<T, C: Copy + Ord> UrgencyQueue<T, C> {
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
        class: C,
        deadline: ClockTime,
        item: T,
    ) -> Option<(T, DroppedItem)> {
        let rank = self.next_rank(class, deadline);
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

    /// Adds an item whatever the capacity, and returns its position.
    pub(crate) fn insert(&mut self, class: C, deadline: ClockTime, item: T) -> QueueRank<C> {
        let rank = self.next_rank(class, deadline);
        self.items.insert(rank, item);
        rank
    }

    /// Returns the items of `class` and of later ones with their positions, the first one first.
    pub(crate) fn iter_from(&self, class: C) -> impl Iterator<Item = (QueueRank<C>, &T)> {
        let later = self.items.range((class, ClockTime(0), 0)..);
        later.map(|(rank, item)| (*rank, item))
    }

    /// Removes and returns the item at this position.
    pub(crate) fn remove(&mut self, rank: &QueueRank<C>) -> Option<T> {
        self.items.remove(rank)
    }

    /// Removes the first item and returns it with its deadline.
    pub(crate) fn pop(&mut self) -> Option<(T, ClockTime)> {
        let ((_, deadline, _), item) = self.items.pop_first()?;
        Some((item, deadline))
    }

    /// Returns the number of items that leave the queue before a new item of `class` with `deadline`.
    pub(crate) fn count_ahead(&self, class: C, deadline: ClockTime) -> usize {
        self.items.range(..=(class, deadline, u64::MAX)).count()
    }

    /// Removes and returns the items that match.
    pub(crate) fn withdraw(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.items
            .extract_if(.., |_, item| matches(item))
            .map(|(_, item)| item)
            .collect()
    }

    fn next_rank(&mut self, class: C, deadline: ClockTime) -> QueueRank<C> {
        let rank = (class, deadline, self.arrival_count);
        self.arrival_count += 1;
        rank
    }
}

impl<T> UrgencyQueue<T> {
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
}

/// The item that a full queue drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DroppedItem {
    /// The item that was to be added.
    Arrival,
    /// A waiting item, which the added one displaces.
    Waiting,
}
