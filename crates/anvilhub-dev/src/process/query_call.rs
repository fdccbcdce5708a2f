use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::border::query::{QueryAnswer, QueryRequest, TicketEntry};
use eyre::{Result, WrapErr, bail};

use super::HttpClient;

/// Key in the key space that every booking is for.
const BOOKING_KEY: u64 = 4_711;
/// Default deadline in milliseconds. It only ends requests that hang; tests count events instead of time.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// A caller's request, which can be sent to any entry instance.
#[derive(Clone, Debug)]
pub struct QueryCall {
    /// Body of the `POST /v1/query` request.
    pub request: QueryRequest,
}

impl QueryCall {
    /// Creates a search over the whole key space of `service` by `caller`, with a unique request id.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid.
    pub fn search(service: &str, caller: &str) -> Result<Self> {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let request = QueryRequest {
            request_id: format!("{service}-{number}").parse()?,
            caller: caller.parse()?,
            service: service.parse()?,
            deadline_ms: DEFAULT_DEADLINE_MS,
            urgency: None,
            idempotent: true,
            key: None,
            query: format!("{service} {number}"),
            ticket: None,
        };
        Ok(Self { request })
    }

    /// Creates a request that must not run twice. Its query text is unique, so that its effects can be counted.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid.
    pub fn booking(service: &str, caller: &str) -> Result<Self> {
        let mut call = Self::search(service, caller)?;
        call.request.idempotent = false;
        call.request.key = Some(BOOKING_KEY);
        Ok(call)
    }

    /// Returns the request with a deadline of `deadline_ms` milliseconds.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.request.deadline_ms = deadline_ms;
        self
    }

    /// Returns the request with `ticket`, which allows it to run once.
    pub fn with_ticket(mut self, ticket: TicketEntry) -> Self {
        self.request.ticket = Some(ticket);
        self
    }

    /// Sends the request to an entry instance and returns the status and the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives.
    pub fn send(&self, entry: SocketAddr) -> Result<(u16, QueryAnswer)> {
        let (status, body) = HttpClient::new(entry).post("/v1/query", &self.request)?;
        let answer = serde_json::from_slice(&body).wrap_err_with(|| {
            let text = String::from_utf8_lossy(&body);
            format!("status {status} with an invalid answer: {text}")
        })?;
        Ok((status, answer))
    }

    /// Gets a ticket from an entry instance and returns the request with that ticket.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance issues no ticket.
    pub fn with_ticket_from(self, entry: SocketAddr) -> Result<Self> {
        match self.send(entry)? {
            (
                428,
                QueryAnswer {
                    ticket: Some(ticket),
                    ..
                },
            ) => Ok(self.with_ticket(ticket)),
            (status, answer) => {
                bail!("{entry} issued no ticket: status {status} instead of 428, {answer:?}")
            }
        }
    }
}
