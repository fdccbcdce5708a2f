use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::ids::ByteSize;

use super::budget_reservation::BudgetReservation;

/// Maximum size of all answers together that this process holds while it reads them. Many times what requests at full
/// load need, and less than an eighth of the memory of the smallest instances.
const MAX_BUFFERED_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);

/// The answers that this process is reading.
pub(crate) static ANSWER_BUDGET: AnswerBudget = AnswerBudget::new(MAX_BUFFERED_SIZE);

/// Bounds the memory of all answers that are being read.
///
/// An answer may be as large as one limit allows, but upstreams in trouble send bytes without end, and a gathered
/// request reads hundreds of answers at a time.
#[derive(Debug)]
pub(crate) struct AnswerBudget {
    max_size: AtomicU64,
    used: AtomicU64,
}

impl AnswerBudget {
    pub(super) const fn new(max_size: ByteSize) -> Self {
        Self {
            max_size: AtomicU64::new(max_size.0),
            used: AtomicU64::new(0),
        }
    }

    /// Changes the maximum size, to fit into the memory of the machine.
    pub(crate) fn set_max_size(&self, max_size: ByteSize) {
        self.max_size.store(max_size.get(), Ordering::Relaxed);
    }

    /// Returns the size of the answers that are being read.
    pub(crate) fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns a reservation of nothing, which grows with the answer and is released when it is dropped.
    pub(super) fn reserve(&'static self) -> BudgetReservation {
        BudgetReservation::new(self)
    }

    /// Takes `size` bytes. Returns whether the budget had them; they are taken in any case.
    pub(super) fn take(&self, size: u64) -> bool {
        let before = self.used.fetch_add(size, Ordering::AcqRel);
        before + size <= self.max_size.load(Ordering::Relaxed)
    }

    /// Gives `size` bytes back.
    pub(super) fn give_back(&self, size: u64) {
        self.used.fetch_sub(size, Ordering::AcqRel);
    }
}
