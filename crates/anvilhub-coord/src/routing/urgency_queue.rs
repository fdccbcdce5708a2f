use std::collections::BTreeMap;

use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

/// Every class, the most urgent first.
pub(crate) const URGENCY_CLASSES: [UrgencyClass; 3] = [
    UrgencyClass::Urgent,
    UrgencyClass::Standard,
    UrgencyClass::Deferred,
];

type Rank = (UrgencyClass, ClockTime, u64);

/// A bounded queue ordered by urgency, then deadline, then arrival.
#[derive(Clone, Debug)]
pub(crate) struct UrgencyQueue<T> {
    entries: BTreeMap<Rank, T>,
    capacity: usize,
    arrivals: u64,
}

impl<T> UrgencyQueue<T> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            capacity,
            arrivals: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds an item and returns the one that has no room, which may be the same.
    pub(crate) fn push(
        &mut self,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> Option<(T, Displaced)> {
        let rank = (urgency, deadline, self.arrivals);
        self.arrivals += 1;
        if self.entries.len() < self.capacity {
            self.entries.insert(rank, item);
            return None;
        }
        let last = self.entries.keys().next_back();
        if last.is_none_or(|last| *last < rank) {
            return Some((item, Displaced::Arrival));
        }
        self.entries.insert(rank, item);
        let (_, item) = self.entries.pop_last()?;
        Some((item, Displaced::Waiting))
    }

    pub(crate) fn pop(&mut self) -> Option<(T, ClockTime)> {
        let ((_, deadline, _), item) = self.entries.pop_first()?;
        Some((item, deadline))
    }

    /// Number of entries that leave the queue before one of `urgency` with `deadline`.
    pub(crate) fn ahead_of(&self, urgency: UrgencyClass, deadline: ClockTime) -> usize {
        self.entries.range(..=(urgency, deadline, u64::MAX)).count()
    }

    /// Removes the entries whose deadline is not after the limit of their class.
    pub(crate) fn expire(&mut self, limit: impl Fn(UrgencyClass) -> ClockTime) -> Vec<T> {
        let mut expired = Vec::new();
        for class in URGENCY_CLASSES {
            let first = (class, ClockTime(0), 0);
            let last = (class, limit(class), u64::MAX);
            while let Some((&rank, _)) = self.entries.range(first..=last).next() {
                expired.extend(self.entries.remove(&rank));
            }
        }
        expired
    }

    /// Removes the entries that `matches` selects.
    pub(crate) fn withdraw(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.entries
            .extract_if(.., |_, item| matches(item))
            .map(|(_, item)| item)
            .collect()
    }
}

/// Which entry a full queue gave up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Displaced {
    Arrival,
    Waiting,
}
