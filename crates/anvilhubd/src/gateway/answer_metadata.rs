use std::time::Duration;

use anvilhub_coord::gateway::SlotLoad;
use anvilhub_coord::limit::StatedLimit;
use hyper::header::HeaderValue;

/// What a [`HeaderCodec`](super::HeaderCodec) reads from the head of an upstream's answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerMetadata {
    /// Identifier of the request that the answer belongs to, if the upstream states one.
    pub request_id: Option<HeaderValue>,
    /// Whether the upstream states that the request did not run.
    pub is_not_run: bool,
    /// Whether the address now belongs to another upstream.
    pub is_misdirected: bool,
    /// The upstream's signature of its answer.
    pub signature: Option<HeaderValue>,
    /// Load that the upstream reports.
    pub load: Option<SlotLoad>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream asks to get no requests.
    pub rest: Option<Duration>,
    /// Limit of requests from all instances together that the upstream names.
    pub limit: StatedLimit,
    /// Time for which the upstream states that it stays cold.
    pub warmup_left: Option<Duration>,
}
