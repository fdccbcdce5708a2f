use std::time::Duration;

/// Limits of a [`TicketTable`](super::TicketTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Maximum number of records in any state.
    pub max_tickets: usize,
    /// Time from the issue of a ticket to its expiry; a request with an expired ticket is not started.
    pub lifetime: Duration,
    /// Time for which an outcome is kept after the ticket expires or the request ends, whichever is later.
    pub retention: Duration,
    /// Size of all recorded answers at which no more tickets are issued, in bytes. A resend needs the whole
    /// answer, so the limit stops new requests instead of truncating answers.
    pub max_recorded_bytes: usize,
    /// Maximum number of attempts for one request. Each further attempt requires proof that the previous one did
    /// not run.
    pub max_attempts: u32,
}

impl Default for TicketLimits {
    /// Returns the default limits.
    ///
    /// A caller resends within seconds; a lifetime of one minute also covers a person who presses a button again.
    /// 16,384 tickets within two minutes allow 136 non-idempotent requests per second.
    fn default() -> Self {
        Self {
            max_tickets: 16_384,
            lifetime: Duration::from_secs(60),
            retention: Duration::from_secs(60),
            max_recorded_bytes: 8 << 20,
            max_attempts: 3,
        }
    }
}
