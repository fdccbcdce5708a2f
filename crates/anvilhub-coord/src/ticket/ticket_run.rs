use crate::ids::TicketNumber;
use crate::mutation;
use crate::time::ClockTime;

use super::{NotRunReason, TicketOutcome, UnknownReason};

/// The right to run a ticket's request. The table hands out one for each ticket.
///
/// A run that is dropped stays `running` in the table until its retention ends, then becomes `unknown`.
#[derive(Debug)]
#[must_use = "finish the run in its table"]
pub struct TicketRun {
    pub(crate) number: TicketNumber,
    pub(crate) expires_at: ClockTime,
    pub(crate) deadline: ClockTime,
    pub(crate) attempts_left: u32,
    pub(crate) step: RunStep,
}

/// What is known of the tries so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStep {
    /// No try, or each one provably did not run.
    NotSent,
    /// A try was sent and nothing proves that it did not run.
    Sent,
    /// The upstream answered.
    Answered,
}

/// Whether the request may be sent now.
#[derive(Clone, Debug, PartialEq)]
pub enum SendDecision {
    /// Send it to one replica.
    Send,
    /// Send nothing and finish with this outcome.
    Stop(TicketOutcome),
}

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The upstream answered this request with status 200.
    Answered,
    /// No byte was sent: the connection was never opened.
    NotSent,
    /// The upstream answered `not_run` for this request.
    Refused,
    /// Anything else: timeout, broken connection, unusable or another request's answer.
    Lost,
}

/// What follows a try.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Finish with `done` and the answer.
    Finish,
    /// Ask [`TicketRun::begin_send`] for another try, at another replica where there is one.
    Retry,
    /// Finish with this outcome.
    Stop(TicketOutcome),
}

impl TicketRun {
    /// The number of the ticket that runs.
    pub fn number(&self) -> TicketNumber {
        self.number
    }

    /// Time at which the request is given up.
    pub fn deadline(&self) -> ClockTime {
        self.deadline
    }

    /// Decides directly before the first byte is written whether the request may be sent, and counts it
    /// as sent from then on.
    ///
    /// `now` has to be read after any wait: a process that was paused past the expiry or the deadline
    /// sends nothing.
    pub fn begin_send(&mut self, now: ClockTime) -> SendDecision {
        if self.step != RunStep::NotSent {
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
        self.step = RunStep::Sent;
        SendDecision::Send
    }

    /// Decides what follows a try that was sent.
    pub fn record_send_result(&mut self, result: SendResult) -> RetryDecision {
        match result {
            SendResult::Answered => {
                self.step = RunStep::Answered;
                RetryDecision::Finish
            }
            SendResult::NotSent | SendResult::Refused => {
                self.step = RunStep::NotSent;
                RetryDecision::Retry
            }
            SendResult::Lost if mutation::is_active("lost_is_retried") => {
                self.step = RunStep::NotSent;
                RetryDecision::Retry
            }
            SendResult::Lost if mutation::is_active("lost_is_not_run") => {
                self.step = RunStep::NotSent;
                RetryDecision::Stop(TicketOutcome::NotRun(NotRunReason::Refused))
            }
            SendResult::Lost => {
                RetryDecision::Stop(TicketOutcome::Unknown(UnknownReason::AnswerLost))
            }
        }
    }

    /// The outcome to record for the claimed `outcome`: a claim without its proof becomes `unknown`.
    pub(crate) fn proved(&self, outcome: TicketOutcome) -> TicketOutcome {
        match (&outcome, self.step) {
            (TicketOutcome::NotRun(_), RunStep::NotSent) => outcome,
            (TicketOutcome::Done(_), RunStep::Answered) => outcome,
            (TicketOutcome::Unknown(_), _) => outcome,
            _ => TicketOutcome::Unknown(UnknownReason::AnswerLost),
        }
    }
}
