use std::sync::Arc;

use super::{AttemptOutcome, SendGate};

/// The outcome of an attempt, as it reports it to its run.
pub(super) struct AttemptReport {
    /// Index of the sub-request.
    pub(super) index: usize,
    /// The gate of the attempt.
    pub(super) gate: Arc<SendGate>,
    pub(super) outcome: AttemptOutcome,
}
