use std::cmp::Reverse;
use std::collections::BinaryHeap;

use anvilhub_coord::time::ClockTime;

/// Priority queue of events, ordered by time and then by insertion.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(ClockTime, u64, E)>>,
    /// Number of events inserted so far. Orders events of the same time.
    inserted_count: u64,
}

impl<E: Ord> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted_count: 0,
        }
    }

    pub(crate) fn push(&mut self, time: ClockTime, event: E) {
        self.inserted_count += 1;
        self.heap.push(Reverse((time, self.inserted_count, event)));
    }

    /// Removes the earliest event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(ClockTime, E)> {
        let Reverse((time, _, event)) = self.heap.pop()?;
        Some((time, event))
    }
}
