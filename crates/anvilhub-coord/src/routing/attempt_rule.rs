use derive_more::Display;

use crate::sheet::RepeatPolicy;
use crate::time::ClockTime;

use super::AttemptState;

/// Why a further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptKind {
    /// The earlier attempt ended without an answer.
    #[display("retry")]
    Retry,
    /// The earlier attempt is still in flight.
    #[display("hedge")]
    Hedge,
}

/// Why a further attempt is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ForbiddenReason {
    /// The sub-request is not idempotent and may have started.
    #[display("may_have_started")]
    MayHaveStarted,
    /// The sub-request has its answer.
    #[display("answered")]
    Answered,
    /// The earlier attempt is in a state that this kind of attempt does not follow.
    #[display("wrong_state")]
    WrongState,
    /// The deadline has passed.
    #[display("deadline_passed")]
    DeadlinePassed,
}

/// Whether a further attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptVerdict {
    /// It may be sent, once the budget has paid for it.
    #[display("allowed")]
    Allowed,
    /// It must not be sent.
    #[display("forbidden: {_0}")]
    Forbidden(ForbiddenReason),
}

/// The rule for retries and hedges of one sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRule {
    repeat: RepeatPolicy,
    deadline: ClockTime,
}

impl AttemptRule {
    /// The rule for a sub-request of a service with the policy `service`.
    ///
    /// Service and request must both say idempotent for a request to be treated as such.
    pub fn new(service: RepeatPolicy, request_idempotent: bool, deadline: ClockTime) -> Self {
        let repeat = match (service, request_idempotent) {
            (RepeatPolicy::Idempotent, true) => RepeatPolicy::Idempotent,
            _ => RepeatPolicy::NonIdempotent,
        };
        Self { repeat, deadline }
    }

    /// How the sub-request is treated.
    pub fn repeat_policy(&self) -> RepeatPolicy {
        self.repeat
    }

    /// Decides whether an attempt of `kind` may follow attempts in the states `earlier`.
    pub fn decide(
        &self,
        now: ClockTime,
        kind: AttemptKind,
        earlier: &[AttemptState],
    ) -> AttemptVerdict {
        use AttemptVerdict::{Allowed, Forbidden};
        if now >= self.deadline {
            return Forbidden(ForbiddenReason::DeadlinePassed);
        }
        if earlier.contains(&AttemptState::Answered) {
            return Forbidden(ForbiddenReason::Answered);
        }
        let started = earlier.iter().any(|state| state.may_have_started());
        if started && self.repeat == RepeatPolicy::NonIdempotent {
            return Forbidden(ForbiddenReason::MayHaveStarted);
        }
        let in_flight = earlier.contains(&AttemptState::InFlight);
        let waiting = earlier.contains(&AttemptState::Unsent);
        match (kind, in_flight, waiting) {
            (AttemptKind::Hedge, true, false) => Allowed,
            (AttemptKind::Retry, false, false) if !earlier.is_empty() => Allowed,
            _ => Forbidden(ForbiddenReason::WrongState),
        }
    }
}
