use super::answer_budget::AnswerBudget;

/// The part of a budget that one answer takes up; it is given back when this is dropped.
pub(super) struct BudgetReservation {
    budget: &'static AnswerBudget,
    reserved: u64,
}

impl BudgetReservation {
    pub(super) fn new(budget: &'static AnswerBudget) -> Self {
        Self {
            budget,
            reserved: 0,
        }
    }

    /// Reserves `size` more bytes. Returns false if the budget does not have them: the answer must be broken off.
    #[must_use]
    pub(super) fn grow(&mut self, size: usize) -> bool {
        let size = size as u64;
        self.reserved += size;
        self.budget.take(size)
    }
}

impl Drop for BudgetReservation {
    fn drop(&mut self) {
        self.budget.give_back(self.reserved);
    }
}
