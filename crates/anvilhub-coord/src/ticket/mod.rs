//! Tickets, which let a non-idempotent request take effect at most once without persistent state.
//!
//! A ticket names the only instance that may run a request, its owner. The owner calls [`TicketTable::start`], then
//! [`TicketRun::begin_send`] and [`TicketRun::record_send_result`] for each attempt, then
//! [`TicketTable::finish`]. It calls `start` before admission, so that a refusal by admission is recorded as the
//! final outcome.

mod drain_report;
mod forward_decision;
mod request_digest;
mod request_ticket;
mod ticket_limits;
mod ticket_outcome;
mod ticket_owner;
mod ticket_parse_error;
mod ticket_record;
mod ticket_refusal;
mod ticket_run;
mod ticket_table;

pub use drain_report::DrainReport;
pub use forward_decision::{ForwardDecision, RequestOrigin};
pub use request_digest::RequestDigest;
pub use request_ticket::RequestTicket;
pub use ticket_limits::TicketLimits;
pub use ticket_outcome::{NotRunReason, TicketOutcome, UnknownReason};
pub use ticket_owner::TicketOwner;
pub use ticket_parse_error::TicketParseError;
pub use ticket_refusal::TicketRefusal;
pub use ticket_run::{RetryDecision, SendDecision, SendResult, TicketRun};
pub use ticket_table::{StartDecision, TicketTable};

/// Result of a ticket operation.
pub type Result<T, E = TicketRefusal> = std::result::Result<T, E>;
