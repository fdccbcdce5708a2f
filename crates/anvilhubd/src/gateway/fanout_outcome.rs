use super::{SubRequest, UpstreamAnswer};
use anvilhub_coord::gateway::TopRecords;

/// What became of a request at its upstreams.
pub(super) struct FanoutOutcome {
    pub(super) parts: Vec<SubRequest>,
    /// Whether enough parts arrived.
    pub(super) is_answered: bool,
    /// Whether some attempt ran or may have run.
    pub(super) may_have_run: bool,
    /// Whether the time was over.
    pub(super) is_late: bool,
    /// The answer of the only part, if there is one; a failure of the upstream when `is_answered` is false.
    pub(super) single: Option<UpstreamAnswer>,
    /// The records of all parts.
    pub(super) records: TopRecords,
    /// Hedges and retries.
    pub(super) extra: u32,
}
