use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::keyspace::KeyRange;

use super::{AnswerFault, Result};

/// The sub-requests of one request and what became of each.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    range: KeyRange,
    stage: PendingStage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingStage {
    Awaited,
    Answered,
    GivenUp,
}

impl PendingRequests {
    pub(crate) fn insert(&mut self, id: RequestId, range: KeyRange) {
        let stage = PendingStage::Awaited;
        self.requests.insert(id, PendingRequest { range, stage });
    }

    /// Marks an awaited sub-request as answered and returns its range.
    pub(crate) fn mark_answered(&mut self, id: &RequestId) -> Result<KeyRange> {
        let request = id.clone();
        match self.requests.get_mut(id) {
            Some(pending) if pending.stage == PendingStage::Awaited => {
                pending.stage = PendingStage::Answered;
                Ok(pending.range)
            }
            Some(pending) if pending.stage == PendingStage::Answered => {
                Err(AnswerFault::Duplicate { request })
            }
            _ => Err(AnswerFault::Late { request }),
        }
    }

    /// Gives an awaited sub-request up and returns its range.
    pub(crate) fn mark_given_up(&mut self, id: &RequestId) -> Option<KeyRange> {
        let pending = self.requests.get_mut(id)?;
        if pending.stage != PendingStage::Awaited {
            return None;
        }
        pending.stage = PendingStage::GivenUp;
        Some(pending.range)
    }

    /// The ranges of the awaited sub-requests.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = (&RequestId, KeyRange)> {
        self.requests
            .iter()
            .filter(|(_, pending)| pending.stage == PendingStage::Awaited)
            .map(|(id, pending)| (id, pending.range))
    }
}
