use anvilhub_coord::routing::RetryBudget;
use anvilhub_coord::time::ClockTime;

/// Why this instance sends a sub-request. It determines what the sub-request adds to the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubRequestOrigin {
    /// For a request to this instance, and not sent to an owner before.
    Direct,
    /// For a request to this instance, after the owner did not answer.
    Resent,
    /// For a request to another instance, as the owner of the shard.
    Received,
}

impl SubRequestOrigin {
    /// Adds to the retry budget what a sub-request of this origin earns.
    pub(super) fn earn_budget(self, budget: &mut RetryBudget, now: ClockTime) {
        match self {
            Self::Direct => budget.earn(now),
            // It was counted when it was sent to the owner.
            Self::Resent => {}
            Self::Received => budget.earn_as_owner(now),
        }
    }
}
