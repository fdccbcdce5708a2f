use std::time::Duration;

/// Bounds of a [`TicketTable`](super::TicketTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Most records at a time, in any state.
    pub max_tickets: usize,
    /// Time from the issue of a ticket to its expiry; an expired ticket does not start.
    pub lifetime: Duration,
    /// Time that an outcome is kept after the expiry or the end of the request, whichever is later.
    pub retention: Duration,
    /// Bytes of recorded answers from which on no ticket is issued. An answer is kept whole for resends, so
    /// the bound holds back new requests instead of cutting answers.
    pub max_recorded_bytes: usize,
    /// Most tries of one request, each after proof that the one before did not run.
    pub max_attempts: u32,
}

impl Default for TicketLimits {
    /// A caller resends within seconds; a minute of lifetime also covers a person who presses a button
    /// again. 16,384 tickets over two minutes allow 136 non-idempotent requests a second.
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
