use crate::ids::{CallerName, ServiceName};
use crate::mutation;
use crate::time::ClockTime;

use super::{NotRunReason, RequestDigest, RequestTicket, TicketOutcome};

/// The owner's record of one ticket.
#[derive(Debug)]
pub(crate) struct TicketRecord {
    pub(crate) nonce: u64,
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) expires_at: ClockTime,
    /// Time at which the record may be removed.
    pub(crate) remove_at: ClockTime,
    pub(crate) stage: TicketStage,
}

/// Stage of a ticket in its life cycle.
#[derive(Clone, Debug)]
pub(crate) enum TicketStage {
    /// No request has been started with the ticket.
    Issued,
    /// The request is running.
    Running(RequestDigest),
    /// The outcome is final. The digest is `None` if no request was started.
    Settled(Option<RequestDigest>, TicketOutcome),
}

impl TicketRecord {
    /// Returns the name of the first field of `ticket` that differs from the record.
    pub(crate) fn altered_field(&self, ticket: &RequestTicket) -> Option<&'static str> {
        match ticket {
            _ if ticket.nonce != self.nonce => Some("nonce"),
            _ if ticket.caller != self.caller => Some("caller"),
            _ if ticket.service != self.service => Some("service"),
            _ => None,
        }
    }

    /// Returns whether the ticket may be used for `request`: it was used for no other request before.
    pub(crate) fn matches_request(&self, request: RequestDigest) -> bool {
        match self.stage {
            TicketStage::Issued => true,
            TicketStage::Running(started) => started == request,
            TicketStage::Settled(started, _) => started.is_none_or(|started| started == request),
        }
    }

    /// Records `not_run` if the ticket expired before its request started, so that the request never starts.
    pub(crate) fn settle_expired(&mut self, now: ClockTime) {
        let is_expired = now >= self.expires_at && !mutation::is_active("expired_runs");
        if is_expired && matches!(self.stage, TicketStage::Issued) {
            let outcome = TicketOutcome::NotRun(NotRunReason::Expired);
            self.stage = TicketStage::Settled(None, outcome);
        }
    }

    /// Returns the size of the recorded answer's values in bytes.
    pub(crate) fn recorded_bytes(&self) -> usize {
        match &self.stage {
            TicketStage::Settled(_, TicketOutcome::Done(answer)) => {
                answer.rows.iter().map(|row| row.value.len()).sum()
            }
            _ => 0,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.stage, TicketStage::Running(_))
    }
}
