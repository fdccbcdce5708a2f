//! Non-idempotent requests: issues their tickets, forwards them to the owner of the ticket, and runs them there.

mod ticket_executor;
mod ticket_service;

pub(crate) use ticket_service::{TicketService, random_number};
