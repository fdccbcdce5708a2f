use super::{SubRequest, UpstreamAnswer};
use anvilhub_coord::gateway::TopRecords;

/// Result of a request's fan-out.
pub(super) struct FanoutOutcome {
    pub(super) sub_requests: Vec<SubRequest>,
    /// Whether enough sub-requests succeeded.
    pub(super) is_answered: bool,
    /// Whether some attempt ran or may have run.
    pub(super) may_have_run: bool,
    /// Whether the deadline has passed.
    pub(super) is_late: bool,
    /// The answer of the only sub-request of a request that is not gathered, if there is one; a failure of the
    /// upstream if `is_answered` is false.
    pub(super) single_answer: Option<UpstreamAnswer>,
    /// The greatest records of all shards' answers.
    pub(super) records: TopRecords,
    /// Number of hedges and retries.
    pub(super) extra_sends: u32,
}
