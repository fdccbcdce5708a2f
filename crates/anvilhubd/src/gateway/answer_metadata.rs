use anvilhub_coord::gateway::SlotLoad;
use hyper::header::HeaderValue;

/// What a face reads from the head of an upstream's answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerMetadata {
    /// Identifier of the request that the answer belongs to, if it states one.
    pub request: Option<HeaderValue>,
    /// Whether the upstream states that the request did not run.
    pub is_not_run: bool,
    /// Whether another upstream has the address now.
    pub is_misdirected: bool,
    /// The upstream's signature of its answer.
    pub signature: Option<HeaderValue>,
    /// The load of the upstream.
    pub load: Option<SlotLoad>,
}
