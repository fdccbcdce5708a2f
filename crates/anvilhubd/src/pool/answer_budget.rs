use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::ids::ByteSize;

/// Maximum size of all answers together that this process holds while it reads them. Many times what requests at full
/// load need, and less than an eighth of the memory of the smallest instances.
const MAX_BUFFERED_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);

/// The answers that this process is reading.
pub(super) static ANSWER_BUDGET: AnswerBudget = AnswerBudget::new(MAX_BUFFERED_SIZE);

/// Bounds the memory of all answers that are being read.
///
/// An answer may be as large as one limit allows, but upstreams in trouble send bytes without end, and a gathered
/// request reads hundreds of answers at a time.
#[derive(Debug)]
pub(super) struct AnswerBudget {
    max_size: ByteSize,
    used: AtomicU64,
}

impl AnswerBudget {
    pub(super) const fn new(max_size: ByteSize) -> Self {
        Self {
            max_size,
            used: AtomicU64::new(0),
        }
    }

    /// Returns a reservation of nothing, which grows with the answer and is released when it is dropped.
    pub(super) fn reserve(&'static self) -> BudgetReservation {
        BudgetReservation {
            budget: self,
            reserved: 0,
        }
    }
}

/// The part of a budget that one answer takes up.
pub(super) struct BudgetReservation {
    budget: &'static AnswerBudget,
    reserved: u64,
}

impl BudgetReservation {
    /// Reserves `size` more bytes. Returns false if the budget does not have them.
    #[must_use]
    pub(super) fn grow(&mut self, size: usize) -> bool {
        let size = size as u64;
        let before = self.budget.used.fetch_add(size, Ordering::AcqRel);
        self.reserved += size;
        before + size <= self.budget.max_size.get()
    }
}

impl Drop for BudgetReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.reserved, Ordering::AcqRel);
    }
}
