use std::sync::Arc;

use anvilhub_coord::gateway::SubRequestState;
use anvilhub_coord::ids::{ServiceName, UpstreamId};
use anvilhub_coord::time::ClockTime;
use hyper::header::HeaderValue;

use super::{ServiceGroup, SubRequestOutcome, TrackedUpstream};

/// One part of a request: a shard of a gathered one, or the service of any other.
pub(super) struct SubRequest {
    pub(super) service: ServiceName,
    pub(super) group: Option<Arc<ServiceGroup>>,
    pub(super) state: SubRequestState,
    pub(super) tried: Vec<Arc<TrackedUpstream>>,
    /// Attempts that may have arrived at an upstream.
    pub(super) sends: u32,
    pub(super) in_flight: u32,
    /// When a hedge is due; `None` when none is to be sent.
    pub(super) hedge_at: Option<ClockTime>,
    pub(super) signature: Option<HeaderValue>,
    pub(super) outcome: SubRequestOutcome,
}

impl SubRequest {
    pub(super) fn new(service: ServiceName, group: Option<Arc<ServiceGroup>>) -> Self {
        Self {
            service,
            group,
            state: SubRequestState::Failed,
            tried: Vec::new(),
            sends: 0,
            in_flight: 0,
            hedge_at: None,
            signature: None,
            outcome: SubRequestOutcome::NoUpstream,
        }
    }

    pub(super) fn was_tried(&self, node: &TrackedUpstream) -> bool {
        self.tried.iter().any(|tried| std::ptr::eq(&**tried, node))
    }

    /// The upstream of the last attempt.
    pub(super) fn last_upstream(&self) -> Option<&UpstreamId> {
        self.tried.last().map(|node| &node.entry.id)
    }
}
