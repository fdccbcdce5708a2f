use std::time::Duration;

use crate::border::query::TicketEntry;
use crate::ids::{CallerName, ServiceName, TicketNumber};

use super::{TicketOwner, TicketParseError};

/// A ticket for one non-idempotent request. It names the only instance that may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTicket {
    /// The owner: the instance that may run the request, in the incarnation that issued the ticket.
    pub owner: TicketOwner,
    /// Ticket number, unique within the owner's incarnation.
    pub number: TicketNumber,
    /// Random number that keeps a caller from guessing another caller's ticket.
    pub nonce: u64,
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// Caller that the ticket was issued to.
    pub caller: CallerName,
    /// Time from issue to expiry, on the owner's clock. Only the owner's record decides whether the ticket has
    /// expired.
    pub lifetime: Duration,
}

impl TryFrom<&TicketEntry> for RequestTicket {
    type Error = TicketParseError;

    /// # Errors
    ///
    /// Returns an error if the address is not an IP address and port, or if an identifier is not valid.
    fn try_from(entry: &TicketEntry) -> Result<Self, TicketParseError> {
        let address = entry
            .address
            .parse()
            .map_err(|_| TicketParseError::Address(entry.address.clone()))?;
        if !entry.owner.is_valid() {
            return Err(TicketParseError::Identifier("owner"));
        }
        if !entry.service.is_valid() {
            return Err(TicketParseError::Identifier("service"));
        }
        if !entry.caller.is_valid() {
            return Err(TicketParseError::Identifier("caller"));
        }
        Ok(Self {
            owner: TicketOwner {
                instance: entry.owner.clone(),
                address,
                incarnation: entry.incarnation,
            },
            number: entry.number,
            nonce: entry.nonce,
            service: entry.service.clone(),
            caller: entry.caller.clone(),
            lifetime: Duration::from_millis(entry.expires_in_ms),
        })
    }
}

impl From<&RequestTicket> for TicketEntry {
    fn from(ticket: &RequestTicket) -> Self {
        Self {
            owner: ticket.owner.instance.clone(),
            address: ticket.owner.address.to_string(),
            incarnation: ticket.owner.incarnation,
            number: ticket.number,
            nonce: ticket.nonce,
            service: ticket.service.clone(),
            caller: ticket.caller.clone(),
            expires_in_ms: u64::try_from(ticket.lifetime.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
