use std::time::Duration;

use anvilhub_coord::ids::ByteSize;

use crate::memory::ServerKind;

/// Byte that a server whose limits have `sends_greeting` sends first on each connection.
pub(crate) const GREETING: u8 = b'+';

/// Limits and options of the connections of an [`HttpServer`](super::HttpServer).
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// The server that these limits are for.
    pub(crate) server: ServerKind,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Maximum idle time of a connection between two requests, and maximum time to receive the head of a request.
    pub(crate) idle_timeout: Duration,
    /// Whether a caller that has closed its sending side still gets its answer. If false, the work for its request ends
    /// as soon as that side is closed.
    pub(crate) answers_half_closed: bool,
    /// Maximum size of the head of a request; hyper's default if `None`.
    pub(crate) max_head_size: Option<ByteSize>,
    /// Whether the server sends [`GREETING`] on each new connection. The greeting shows that the process is running:
    /// the kernel accepts connections for a paused process too.
    pub(crate) sends_greeting: bool,
}
