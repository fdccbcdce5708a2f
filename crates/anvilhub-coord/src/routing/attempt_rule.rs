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
    /// The earlier attempts are in a state that does not permit this kind of attempt.
    #[display("wrong_state")]
    WrongState,
    /// The deadline has passed.
    #[display("deadline_passed")]
    DeadlinePassed,
}

/// Whether a further attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptVerdict {
    /// The attempt may be sent if the retry budget has a token for it.
    #[display("allowed")]
    Allowed,
    /// The attempt must not be sent.
    #[display("forbidden: {_0}")]
    Forbidden(ForbiddenReason),
}

/// Decides whether a sub-request may be retried or hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRule {
    repeat_policy: RepeatPolicy,
    deadline: ClockTime,
}

impl AttemptRule {
    /// Creates the rule for a sub-request of a service with the policy `service_policy`.
    ///
    /// A sub-request counts as idempotent only if both the service and the request are declared idempotent.
    pub fn new(
        service_policy: RepeatPolicy,
        is_request_idempotent: bool,
        deadline: ClockTime,
    ) -> Self {
        let repeat_policy = match (service_policy, is_request_idempotent) {
            (RepeatPolicy::Idempotent, true) => RepeatPolicy::Idempotent,
            _ => RepeatPolicy::NonIdempotent,
        };
        Self {
            repeat_policy,
            deadline,
        }
    }

    /// Returns whether the sub-request is treated as idempotent.
    pub fn repeat_policy(&self) -> RepeatPolicy {
        self.repeat_policy
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
        let may_have_started = earlier.iter().any(|state| state.may_have_started());
        if may_have_started && self.repeat_policy == RepeatPolicy::NonIdempotent {
            return Forbidden(ForbiddenReason::MayHaveStarted);
        }
        let has_in_flight = earlier.contains(&AttemptState::InFlight);
        let has_unsent = earlier.contains(&AttemptState::Unsent);
        match (kind, has_in_flight, has_unsent) {
            (AttemptKind::Hedge, true, false) => Allowed,
            (AttemptKind::Retry, false, false) if !earlier.is_empty() => Allowed,
            _ => Forbidden(ForbiddenReason::WrongState),
        }
    }
}
