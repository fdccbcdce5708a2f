use crate::ids::TicketNumber;
use crate::mutation;
use crate::time::ClockTime;

use super::{NotRunReason, TicketOutcome, UnknownReason};

/// The right to run the request of a ticket. The table creates at most one for each ticket.
///
/// If a run is dropped, its record stays `running` until its retention ends and then becomes `unknown`.
#[derive(Debug)]
#[must_use = "pass the run to `TicketTable::finish`"]
pub struct TicketRun {
    pub(crate) number: TicketNumber,
    pub(crate) expires_at: ClockTime,
    pub(crate) deadline: ClockTime,
    pub(crate) attempts_left: u32,
    pub(crate) state: SendState,
}

/// What is known about the attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendState {
    /// There was no attempt, or every attempt provably did not run.
    NotSent,
    /// An attempt was sent and may have run.
    Sent,
    /// The upstream answered.
    Answered,
}

/// Whether the request may be sent now.
#[derive(Clone, Debug, PartialEq)]
pub enum SendDecision {
    /// Send the request to one replica.
    Send,
    /// Do not send the request and finish with this outcome.
    Stop(TicketOutcome),
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The upstream answered this request with status 200.
    Answered,
    /// No byte was sent: there was no open connection.
    NotSent,
    /// The upstream answered `not_run` for this request.
    Refused,
    /// Any other result: a timeout, a broken connection, an unusable answer or an answer to another request.
    Lost,
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Finish with `done` and the answer.
    Finish,
    /// Call [`TicketRun::begin_send`] for another attempt, at another replica if there is one.
    Retry,
    /// Finish with this outcome.
    Stop(TicketOutcome),
}

impl TicketRun {
    /// Returns the number of the ticket.
    pub fn number(&self) -> TicketNumber {
        self.number
    }

    /// Returns the time from which the request is no longer sent.
    pub fn deadline(&self) -> ClockTime {
        self.deadline
    }

    /// Decides whether the request may be sent and, if so, records it as sent. Must be called directly before the
    /// first byte is written.
    ///
    /// `now` must be read after any wait, so that a process that was paused past the expiry or the deadline does
    /// not send the request.
    pub fn begin_send(&mut self, now: ClockTime) -> SendDecision {
        if self.state != SendState::NotSent {
            return SendDecision::Stop(TicketOutcome::Unknown(UnknownReason::AnswerLost));
        }
        if self.attempts_left == 0 {
            return SendDecision::Stop(TicketOutcome::NotRun(NotRunReason::Refused));
        }
        if now >= self.expires_at && !mutation::is_active("expired_runs") {
            return SendDecision::Stop(TicketOutcome::NotRun(NotRunReason::Expired));
        }
        if now >= self.deadline && !mutation::is_active("expired_runs") {
            return SendDecision::Stop(TicketOutcome::NotRun(NotRunReason::DeadlinePassed));
        }
        self.attempts_left -= 1;
        self.state = SendState::Sent;
        SendDecision::Send
    }

    /// Records the result of an attempt and decides what to do next.
    pub fn record_send_result(&mut self, result: SendResult) -> RetryDecision {
        match result {
            SendResult::Answered => {
                self.state = SendState::Answered;
                RetryDecision::Finish
            }
            SendResult::NotSent | SendResult::Refused => {
                self.state = SendState::NotSent;
                RetryDecision::Retry
            }
            SendResult::Lost if mutation::is_active("lost_is_retried") => {
                self.state = SendState::NotSent;
                RetryDecision::Retry
            }
            SendResult::Lost if mutation::is_active("lost_is_not_run") => {
                self.state = SendState::NotSent;
                RetryDecision::Stop(TicketOutcome::NotRun(NotRunReason::Refused))
            }
            SendResult::Lost => {
                RetryDecision::Stop(TicketOutcome::Unknown(UnknownReason::AnswerLost))
            }
        }
    }

    /// Returns `outcome` if the results of the attempts prove it, and `unknown` otherwise.
    pub(crate) fn verify_outcome(&self, outcome: TicketOutcome) -> TicketOutcome {
        match (&outcome, self.state) {
            (TicketOutcome::NotRun(_), SendState::NotSent) => outcome,
            (TicketOutcome::Done(_), SendState::Answered) => outcome,
            (TicketOutcome::Unknown(_), _) => outcome,
            _ => TicketOutcome::Unknown(UnknownReason::AnswerLost),
        }
    }
}
