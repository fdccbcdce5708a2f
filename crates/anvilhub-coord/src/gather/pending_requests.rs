use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::keyspace::KeyRange;

use super::{AnswerFault, Result};

/// The sub-requests of one request and the state of each.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    range: KeyRange,
    state: PendingState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingState {
    Awaited,
    Answered,
    Abandoned,
}

impl PendingRequests {
    pub(crate) fn insert(&mut self, id: RequestId, range: KeyRange) {
        let state = PendingState::Awaited;
        self.requests.insert(id, PendingRequest { range, state });
    }

    /// Marks an awaited sub-request as answered and returns its range.
    pub(crate) fn mark_answered(&mut self, id: &RequestId) -> Result<KeyRange> {
        let request = id.clone();
        match self.requests.get_mut(id) {
            Some(pending) if pending.state == PendingState::Awaited => {
                pending.state = PendingState::Answered;
                Ok(pending.range)
            }
            Some(pending) if pending.state == PendingState::Answered => {
                Err(AnswerFault::Duplicate { request })
            }
            _ => Err(AnswerFault::Late { request }),
        }
    }

    /// Marks an awaited sub-request as abandoned and returns its range.
    pub(crate) fn mark_abandoned(&mut self, id: &RequestId) -> Option<KeyRange> {
        let pending = self.requests.get_mut(id)?;
        if pending.state != PendingState::Awaited {
            return None;
        }
        pending.state = PendingState::Abandoned;
        Some(pending.range)
    }

    /// The awaited sub-requests and their ranges.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = (&RequestId, KeyRange)> {
        self.requests
            .iter()
            .filter(|(_, pending)| pending.state == PendingState::Awaited)
            .map(|(id, pending)| (id, pending.range))
    }
}
