use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::border::query::{QueryAnswer, QueryRequest, TicketEntry};
use eyre::{Result, WrapErr, bail};

use super::HttpCall;

/// Key of requests to a service that needs one.
const TEST_KEY: u64 = 4_711;
/// Remaining time of requests, in milliseconds. Tests count events; this only ends requests that hang.
const DEADLINE_MS: u64 = 10_000;

/// A caller's request, to send to any entry.
#[derive(Clone, Debug)]
pub struct QueryCall {
    /// The request.
    pub request: QueryRequest,
}

impl QueryCall {
    /// A search of the whole key space of `service` by `caller`, with a request id of its own.
    ///
    /// # Errors
    ///
    /// Fails when a name is no identifier.
    pub fn search(service: &str, caller: &str) -> Result<Self> {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let request = QueryRequest {
            request_id: format!("{service}-{number}").parse()?,
            caller: caller.parse()?,
            service: service.parse()?,
            deadline_ms: DEADLINE_MS,
            urgency: None,
            idempotent: true,
            key: None,
            query: format!("{service} {number}"),
            ticket: None,
        };
        Ok(Self { request })
    }

    /// A request that must not run twice. Its query text is unique, so that its effects can be counted.
    ///
    /// # Errors
    ///
    /// Fails when a name is no identifier.
    pub fn booking(service: &str, caller: &str) -> Result<Self> {
        let mut call = Self::search(service, caller)?;
        call.request.idempotent = false;
        call.request.key = Some(TEST_KEY);
        Ok(call)
    }

    /// The same request with another deadline.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.request.deadline_ms = deadline_ms;
        self
    }

    /// The same request with a ticket.
    pub fn with_ticket(mut self, ticket: TicketEntry) -> Self {
        self.request.ticket = Some(ticket);
        self
    }

    /// Sends the request to an entry, and gives the status and the answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer arrives.
    pub fn send(&self, entry: SocketAddr) -> Result<(u16, QueryAnswer)> {
        let (status, body) = HttpCall::to(entry).post("/v1/query", &self.request)?;
        let answer = serde_json::from_slice(&body).wrap_err_with(|| {
            let text = String::from_utf8_lossy(&body);
            format!("status {status} with a bad answer: {text}")
        })?;
        Ok((status, answer))
    }

    /// Gets a ticket from an entry, and gives the request that carries it.
    ///
    /// # Errors
    ///
    /// Fails when the entry gives no ticket.
    pub fn ticketed_by(self, entry: SocketAddr) -> Result<Self> {
        match self.send(entry)? {
            (
                428,
                QueryAnswer {
                    ticket: Some(ticket),
                    ..
                },
            ) => Ok(self.with_ticket(ticket)),
            (status, answer) => bail!("no ticket: status {status}, {answer:?}"),
        }
    }
}
