//! Guards against a second run of a non-idempotent sub-request, which a retry or hedge causes if an earlier attempt has
//! started at an upstream, and against attempts that can no longer be of use.

use anvilhub_coord::routing::{
    AttemptKind, AttemptRule, AttemptState, AttemptVerdict, ForbiddenReason,
};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

const DEADLINE: ClockTime = ClockTime(100);
const STATES: [AttemptState; 8] = [
    AttemptState::Unsent,
    AttemptState::ConnectFailed,
    AttemptState::Refused,
    AttemptState::InFlight,
    AttemptState::TimedOut,
    AttemptState::Broken,
    AttemptState::BadAnswer,
    AttemptState::Answered,
];
const KINDS: [AttemptKind; 2] = [AttemptKind::Retry, AttemptKind::Hedge];

/// Returns the rules of sub-requests that count as non-idempotent, because the service, the request or both are not
/// declared idempotent.
fn create_non_idempotent_rules() -> [AttemptRule; 3] {
    [
        AttemptRule::new(RepeatPolicy::NonIdempotent, true, DEADLINE),
        AttemptRule::new(RepeatPolicy::NonIdempotent, false, DEADLINE),
        AttemptRule::new(RepeatPolicy::Idempotent, false, DEADLINE),
    ]
}

#[test]
fn started_never_retried() {
    let not_started = [AttemptState::ConnectFailed, AttemptState::Refused];
    for rule in create_non_idempotent_rules() {
        for first in STATES {
            for second in STATES {
                let retry = rule.decide(ClockTime(0), AttemptKind::Retry, &[first, second]);
                let is_expected = not_started.contains(&first) && not_started.contains(&second);
                assert_eq!(
                    retry == AttemptVerdict::Allowed,
                    is_expected,
                    "{first} {second}"
                );
            }
        }
    }
}

#[test]
fn non_idempotent_unhedged() {
    for rule in create_non_idempotent_rules() {
        for state in STATES {
            let verdict = rule.decide(ClockTime(0), AttemptKind::Hedge, &[state]);
            assert_ne!(verdict, AttemptVerdict::Allowed, "{state}");
        }
    }
}

#[test]
fn answer_ends_attempts() {
    let rule = AttemptRule::new(RepeatPolicy::Idempotent, true, DEADLINE);
    let earlier = [AttemptState::Answered, AttemptState::InFlight];
    for kind in KINDS {
        assert_eq!(
            rule.decide(ClockTime(0), kind, &earlier),
            AttemptVerdict::Forbidden(ForbiddenReason::Answered)
        );
    }
}

#[test]
fn deadline_ends_attempts() {
    let rule = AttemptRule::new(RepeatPolicy::Idempotent, true, DEADLINE);
    for (kind, state) in [
        (AttemptKind::Retry, AttemptState::Broken),
        (AttemptKind::Hedge, AttemptState::InFlight),
    ] {
        assert_eq!(
            rule.decide(ClockTime(99), kind, &[state]),
            AttemptVerdict::Allowed
        );
        assert_eq!(
            rule.decide(DEADLINE, kind, &[state]),
            AttemptVerdict::Forbidden(ForbiddenReason::DeadlinePassed)
        );
    }
}
