use std::time::Duration;

use derive_more::{Display, Error};

use crate::border::query::{ErrorEntry, QueryOutcome};
use crate::ids::{Incarnation, InstanceId, TicketNumber};

/// Why a table issues no ticket or accepts none.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum TicketRefusal {
    /// The table holds as many records, or bytes of recorded answers, as allowed.
    #[display(
        "the instance records no further tickets (limit {limit}); try another instance, or again in {} ms",
        retry_after.as_millis()
    )]
    TableFull {
        /// Most records at a time.
        limit: usize,
        /// Time until the oldest record is forgotten.
        retry_after: Duration,
    },
    /// The instance is stopping.
    #[display("the instance is draining; send the request to another instance")]
    Draining,
    /// The ticket belongs to another instance or to an earlier run of this one.
    #[display(
        "ticket is owned by {owner} incarnation {incarnation}; look up the effect before ordering again"
    )]
    WrongOwner {
        /// Instance that the ticket names.
        owner: InstanceId,
        /// Incarnation that the ticket names.
        incarnation: Incarnation,
    },
    /// The table has no record: the ticket was forgotten after its retention, or never issued.
    #[display("ticket {number} is not on record; look up the effect before ordering again")]
    NotOnRecord {
        /// Number that the ticket gives.
        number: TicketNumber,
    },
    /// A field of the ticket differs from the record.
    #[display("ticket {number} was issued with another {field}; send the ticket unchanged")]
    Altered {
        /// Number that the ticket gives.
        number: TicketNumber,
        /// Field that differs.
        field: &'static str,
    },
    /// The ticket was used for a request with another key or query.
    #[display("ticket {number} was used for another request; get a ticket for each request")]
    OtherRequest {
        /// Number that the ticket gives.
        number: TicketNumber,
    },
}

impl TicketRefusal {
    /// What the refusal says of the request's effect.
    ///
    /// Only a request without a ticket is `not_run`. A ticket that does not match its record may stem from
    /// a damaged resend of a request that ran.
    pub fn outcome(&self) -> QueryOutcome {
        match self {
            Self::TableFull { .. } | Self::Draining => QueryOutcome::NotRun,
            Self::WrongOwner { .. }
            | Self::NotOnRecord { .. }
            | Self::Altered { .. }
            | Self::OtherRequest { .. } => QueryOutcome::Unknown,
        }
    }

    /// Stable code for the error of an answer.
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

    /// The error of an answer.
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
