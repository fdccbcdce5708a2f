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
    pub(crate) forget_at: ClockTime,
    pub(crate) stage: TicketStage,
}

/// Where a ticket stands.
#[derive(Clone, Debug)]
pub(crate) enum TicketStage {
    /// No request has started with it.
    Issued,
    /// Its request runs.
    Running(RequestDigest),
    /// Its outcome is final. The digest is absent when no request started.
    Settled(Option<RequestDigest>, TicketOutcome),
}

impl TicketRecord {
    /// The first field of `ticket` that differs from the record.
    pub(crate) fn altered_field(&self, ticket: &RequestTicket) -> Option<&'static str> {
        match ticket {
            _ if ticket.nonce != self.nonce => Some("nonce"),
            _ if ticket.caller != self.caller => Some("caller"),
            _ if ticket.service != self.service => Some("service"),
            _ => None,
        }
    }

    /// Says whether the ticket runs `request`, or none yet.
    pub(crate) fn is_request(&self, request: RequestDigest) -> bool {
        match self.stage {
            TicketStage::Issued => true,
            TicketStage::Running(known) => known == request,
            TicketStage::Settled(known, _) => known.is_none_or(|known| known == request),
        }
    }

    /// Settles a ticket that expired before its request started, for good: it never starts.
    pub(crate) fn settle_expired(&mut self, now: ClockTime) {
        let is_expired = now >= self.expires_at && !mutation::is_active("expired_runs");
        if is_expired && matches!(self.stage, TicketStage::Issued) {
            let outcome = TicketOutcome::NotRun(NotRunReason::Expired);
            self.stage = TicketStage::Settled(None, outcome);
        }
    }

    /// Bytes of the recorded answer's values.
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
