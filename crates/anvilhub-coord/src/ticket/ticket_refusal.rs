use std::time::Duration;

use derive_more::{Display, Error};

use crate::border::query::{ErrorEntry, QueryOutcome};
use crate::ids::{Incarnation, InstanceId, TicketNumber};

/// Reason why a ticket table does not issue or does not accept a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum TicketRefusal {
    /// The table has reached its limit of records or of recorded answer bytes.
    #[display(
        "the instance records no further tickets (limit {limit}); try another instance, or again in {} ms",
        retry_after.as_millis()
    )]
    TableFull {
        /// Maximum number of records.
        limit: usize,
        /// Time until the oldest record is removed.
        retry_after: Duration,
    },
    /// The instance is stopping.
    #[display("the instance is draining; send the request to another instance")]
    Draining,
    /// The ticket belongs to another instance or to an earlier incarnation of this one.
    #[display(
        "ticket is owned by {owner} incarnation {incarnation}; look up the effect before ordering again"
    )]
    WrongOwner {
        /// Instance that the ticket names.
        owner: InstanceId,
        /// Incarnation that the ticket names.
        incarnation: Incarnation,
    },
    /// The table has no record of the ticket: it was removed after its retention, or never issued.
    #[display("ticket {number} is not on record; look up the effect before ordering again")]
    NotOnRecord {
        /// Number in the ticket.
        number: TicketNumber,
    },
    /// A field of the ticket differs from the record.
    #[display("ticket {number} was issued with another {field}; send the ticket unchanged")]
    Altered {
        /// Number in the ticket.
        number: TicketNumber,
        /// Name of the field that differs.
        field: &'static str,
    },
    /// The ticket was used for a request with another key or query.
    #[display("ticket {number} was used for another request; get a ticket for each request")]
    OtherRequest {
        /// Number in the ticket.
        number: TicketNumber,
    },
}

impl TicketRefusal {
    /// Returns the outcome of a request that is refused for this reason.
    ///
    /// Only a request that got no ticket is `not_run`. A ticket that does not match its record may come from a
    /// damaged resend of a request that ran.
    pub fn outcome(&self) -> QueryOutcome {
        match self {
            Self::TableFull { .. } | Self::Draining => QueryOutcome::NotRun,
            Self::WrongOwner { .. }
            | Self::NotOnRecord { .. }
            | Self::Altered { .. }
            | Self::OtherRequest { .. } => QueryOutcome::Unknown,
        }
    }

    /// Returns the stable error code for an answer.
    pub fn code(&self) -> &'static str {
        match self {
            Self::TableFull { .. } => "ticket_table_full",
            Self::Draining => "draining",
            Self::WrongOwner { .. } => "ticket_wrong_owner",
            Self::NotOnRecord { .. } => "ticket_not_on_record",
            Self::Altered { .. } => "ticket_altered",
            Self::OtherRequest { .. } => "ticket_other_request",
        }
    }

    /// Builds the error for an answer.
    pub fn to_error(&self) -> ErrorEntry {
        let text = self.to_string();
        let (message, remedy) = text.split_once("; ").unwrap_or((&text, ""));
        ErrorEntry {
            code: self.code().to_owned(),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}
