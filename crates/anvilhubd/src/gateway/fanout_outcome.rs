use super::{RefusalWait, SubRequest, UpstreamAnswer};
use anvilhub_coord::gateway::TopRecords;

/// How a request ended after its sub-requests were sent to upstreams.
pub(super) struct FanoutOutcome {
    pub(super) sub_requests: Vec<SubRequest>,
    /// Whether enough sub-requests succeeded.
    pub(super) is_answered: bool,
    /// Whether an upstream ran or may have run the request.
    pub(super) may_have_run: bool,
    /// Whether the request's deadline had passed when it ended.
    pub(super) is_late: bool,
    /// The answer to a request that is not gathered, if there is one. It has a failure status if `is_answered` is
    /// false.
    pub(super) single_answer: Option<UpstreamAnswer>,
    /// The greatest records of the shards' answers; empty if the request is not gathered.
    pub(super) records: TopRecords,
    /// Number of hedges and retries.
    pub(super) extra_send_count: u32,
    /// Whether it ended because this instance reaches no upstream.
    pub(super) is_unreached: bool,
    /// Number of upstreams that a sub-request may have reached, the maximum over all sub-requests.
    pub(super) used_attempts: u32,
    /// When enough upstreams may get the request; `None` if the request may have run, or enough of them may get it now.
    pub(super) refusal_wait: Option<RefusalWait>,
}
