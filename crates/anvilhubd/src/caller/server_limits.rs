use std::time::Duration;

use anvilhub_coord::ids::ByteSize;

/// First byte of a connection that is greeted.
pub(crate) const GREETING: u8 = b'+';

/// What callers' connections may cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Most connections at once.
    pub(crate) most_connections: usize,
    /// Longest rest of a connection between requests, and longest time for a request's head.
    pub(crate) idle_timeout: Duration,
    /// Whether a caller that has closed its sending side still gets its answer. Without, a closed connection
    /// ends the work for its request.
    pub(crate) answers_half_closed: bool,
    /// Largest head of a request, the library's limit if `None`.
    pub(crate) most_head: Option<ByteSize>,
    /// Whether each connection begins with [`GREETING`], which shows that the process runs and not only its kernel.
    pub(crate) greets: bool,
}
