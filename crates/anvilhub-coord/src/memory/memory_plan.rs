use super::LedgerLimit;
use crate::ids::ByteSize;

/// Memory of a process without callers: code, tables of routes, upstreams and members, threads, log lines. 6 MB were
/// measured without upstreams.
const BASE_SIZE: ByteSize = ByteSize(24_000_000);
/// The memory divided by this is added to the base: larger instances gather for others and know more. The busiest ones
/// took 38 MB in all in a sweep with 300 instances (`docs/CAPACITY.md`).
const BASE_DIVISOR: u64 = 16;
/// Memory of an open connection besides what the ledger counts: its task, its buffers, and what its request takes while it is
/// served. 36 kB were measured with 2,500 connections that each sent a request at once, 11 kB before the first request.
const CONNECTION_SIZE: ByteSize = ByteSize(36 * 1024);
/// Maximum fraction of the memory besides the base that connections take.
const MAX_CONNECTION_FRACTION: f64 = 0.57;
/// Maximum fraction of the memory besides the base that answers take while they are read from upstreams, but not less than
/// the largest answer.
const MAX_ANSWER_FRACTION: f64 = 0.125;
/// Maximum size of all answers together while they are read from upstreams, many times what requests at full load need.
const MAX_ANSWER_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);
/// Fraction of the remaining memory that the ledger gives out. The rest is for the allocator, which cannot use all of
/// the memory that was freed.
const LEDGER_FRACTION: f64 = 0.75;
/// `CONNECTION_SIZE` divided by this is lent to the ledger for each connection that is not open. The rest is left to the
/// allocator, and to connections that open while the loan is given back.
const LENT_DIVISOR: u64 = 2;
/// The connections divided by this are for requests that other instances relay.
const RELAY_DIVISOR: usize = 8;

/// How the memory of an instance is divided, so that everything that clients and upstreams can make it hold fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum number of callers' connections.
    pub max_caller_connections: usize,
    /// Maximum number of connections over which other instances relay requests.
    pub max_relay_connections: usize,
    /// Maximum size of all answers together that are being read from upstreams.
    pub answer_limit: ByteSize,
    /// Maximum size of everything that the ledger counts.
    pub ledger_limit: LedgerLimit,
}

impl MemoryPlan {
    /// Divides `memory`, with at most `max_connections` connections and answers of at most `max_answer_size`.
    pub fn new(memory: ByteSize, max_connections: usize, max_answer_size: ByteSize) -> Self {
        let base = BASE_SIZE.get() + memory.get() / BASE_DIVISOR;
        let spare = memory.get().saturating_sub(base);
        let fraction = |part: f64| (spare as f64 * part) as u64;
        let affordable = fraction(MAX_CONNECTION_FRACTION) / CONNECTION_SIZE.get();
        let affordable = usize::try_from(affordable).unwrap_or(usize::MAX);
        let connections = max_connections.min(affordable).max(RELAY_DIVISOR);
        let relay_connections = connections / RELAY_DIVISOR;
        let connection_memory = connections as u64 * CONNECTION_SIZE.get();
        let answer_limit = fraction(MAX_ANSWER_FRACTION)
            .min(MAX_ANSWER_SIZE.get())
            .max(max_answer_size.get());
        let rest = spare.saturating_sub(connection_memory + answer_limit);
        Self {
            max_caller_connections: connections - relay_connections,
            max_relay_connections: relay_connections,
            answer_limit: ByteSize(answer_limit),
            ledger_limit: LedgerLimit {
                base: ByteSize((rest as f64 * LEDGER_FRACTION) as u64),
                max_connections: connections,
                lent_per_connection: ByteSize(CONNECTION_SIZE.get() / LENT_DIVISOR),
            },
        }
    }
}
