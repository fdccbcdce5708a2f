use derive_more::Display;

use super::AttemptState;

/// Outcome of a sub-request that is reported to the caller, derived from its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ReportedOutcome {
    /// An attempt was answered.
    #[display("done")]
    Done,
    /// There was no attempt, or it is certain that none started at an upstream.
    #[display("not_run")]
    NotRun,
    /// An attempt may have started and no answer is known.
    #[display("unknown")]
    Unknown,
}

impl ReportedOutcome {
    /// Derives the outcome from `attempts`, all of which must have ended.
    ///
    /// `NotRun` is correct only if the request has also been removed from every queue.
    pub fn from_attempts(attempts: &[AttemptState]) -> Self {
        if attempts.contains(&AttemptState::Answered) {
            return Self::Done;
        }
        match attempts.iter().any(|state| state.may_have_started()) {
            true => Self::Unknown,
            false => Self::NotRun,
        }
    }
}
