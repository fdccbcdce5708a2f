use std::sync::Arc;

use derive_more::Display;

use crate::border::query::{ErrorEntry, QueryAnswer, QueryOutcome};
use crate::ids::RequestId;

/// What is known about the effect of a ticketed request. No outcome is inferred from another one.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketOutcome {
    /// The request ran. Every resend gets this answer.
    Done(Arc<QueryAnswer>),
    /// The request provably did not run and will never run with this ticket.
    NotRun(NotRunReason),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

/// Reason why a ticketed request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum NotRunReason {
    /// The ticket expired before the request was sent.
    #[display("the ticket expired before the request was sent")]
    Expired,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    DeadlinePassed,
    /// The instance was overloaded and shed the request before it was sent.
    #[display("the instance is overloaded")]
    Shed,
    /// The process was paused before the request was sent.
    #[display("the process was paused before the request was sent")]
    Paused,
    /// No upstream of the key's shard accepts requests.
    #[display("no upstream of the key takes requests")]
    NoUpstream,
    /// Every attempt was refused by its upstream or found no connection.
    #[display("every try was refused or found no connection")]
    Refused,
}

/// Reason why the effect of a ticketed request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum UnknownReason {
    /// The request was sent and no usable answer was received.
    #[display("the request was sent and no answer came back")]
    AnswerLost,
    /// The request was still running when the caller's deadline passed.
    #[display("the request still runs")]
    StillRunning,
    /// The owner of the ticket cannot be reached.
    #[display("the ticket's owner cannot be reached")]
    OwnerUnreachable,
    /// Neither the instance list nor the settings name the owner at the address in the ticket.
    #[display("the ticket's owner is not a listed instance")]
    OwnerNotListed,
    /// The process that issued the ticket has ended.
    #[display("the process that issued the ticket has ended")]
    IncarnationEnded,
}

impl NotRunReason {
    /// Returns the stable error code for an answer.
    pub fn code(self) -> &'static str {
        match self {
            Self::Expired => "ticket_expired",
            Self::DeadlinePassed => "deadline_passed",
            Self::Shed => "shed",
            Self::Paused => "paused",
            Self::NoUpstream => "no_upstream",
            Self::Refused => "refused",
        }
    }
}

impl UnknownReason {
    /// Returns the stable error code for an answer.
    pub fn code(self) -> &'static str {
        match self {
            Self::AnswerLost => "answer_lost",
            Self::StillRunning => "still_running",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::OwnerNotListed => "owner_not_listed",
            Self::IncarnationEnded => "incarnation_ended",
        }
    }

    /// Returns whether a resend with the same ticket can still obtain the outcome.
    fn can_resend(self) -> bool {
        match self {
            Self::StillRunning | Self::OwnerUnreachable | Self::OwnerNotListed => true,
            Self::AnswerLost | Self::IncarnationEnded => false,
        }
    }
}

impl TicketOutcome {
    /// Returns the outcome as it is written in an answer.
    pub fn to_query_outcome(&self) -> QueryOutcome {
        match self {
            Self::Done(_) => QueryOutcome::Done,
            Self::NotRun(_) => QueryOutcome::NotRun,
            Self::Unknown(_) => QueryOutcome::Unknown,
        }
    }

    /// Builds the answer to the request or resend `request_id`.
    pub fn to_answer(&self, request_id: RequestId) -> QueryAnswer {
        if let Self::Done(answer) = self {
            return QueryAnswer {
                request_id,
                ..QueryAnswer::clone(answer)
            };
        }
        QueryAnswer {
            request_id,
            outcome: self.to_query_outcome(),
            rows: Vec::new(),
            snapshot: None,
            coverage: None,
            ticket: None,
            error: self.to_error(),
        }
    }

    fn to_error(&self) -> Option<ErrorEntry> {
        match self {
            Self::Done(_) => None,
            Self::NotRun(reason) => Some(ErrorEntry {
                code: reason.code().to_owned(),
                message: format!("not run: {reason}"),
                remedy: "send the request without a ticket to get a new one".to_owned(),
            }),
            Self::Unknown(reason) => Some(ErrorEntry {
                code: reason.code().to_owned(),
                message: format!("outcome unknown: {reason}"),
                remedy: match reason.can_resend() {
                    true => "send the request again with the same ticket".to_owned(),
                    false => "look up the effect before ordering again".to_owned(),
                },
            }),
        }
    }
}
