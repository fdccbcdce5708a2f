use anvilhub_coord::routing::RetryBudget;
use anvilhub_coord::time::ClockTime;

/// Why this instance sends a sub-request, which decides what it earns for hedges and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubOrigin {
    /// For a request of its own, not sent to an owner before.
    Direct,
    /// For a request of its own whose owner does not answer.
    Resent,
    /// As the owner, for another instance.
    Received,
}

impl SubOrigin {
    pub(super) fn earn(self, budget: &mut RetryBudget, now: ClockTime) {
        match self {
            Self::Direct => budget.earn(now),
            // Counted when it was forwarded.
            Self::Resent => {}
            Self::Received => budget.earn_as_owner(now),
        }
    }
}
