//! Non-idempotent requests: tickets, forwarding to their owner, and the run at the owner.

mod ticket_executor;
mod ticket_service;

pub(crate) use ticket_service::{TicketService, random_number};
