//! Messages of the request simulation and the answers that they carry.

use std::sync::Arc;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, RowEntry};
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{AnswerGather, CoverageReport};
use anvilhub_coord::ids::{Incarnation, RequestId, SnapshotId};
use anvilhub_coord::ticket::TicketOutcome;

use super::request_simulation::REQUEST_KEY;

/// A sender or receiver of messages; instances and replicas are given by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeId {
    Caller,
    Instance(usize),
    Replica(usize),
}

#[derive(Clone, Debug)]
pub(super) struct RequestMessage {
    pub(super) from: NodeId,
    pub(super) to: NodeId,
    pub(super) body: MessageBody,
}

#[derive(Clone, Debug)]
pub(super) enum MessageBody {
    /// The caller's request with this index.
    Request(usize),
    /// The answer to the caller's request with this index.
    Reply(usize, QueryAnswer),
    /// An attempt that is sent to a replica.
    Attempt(AttemptKey),
    /// The replica's answer to an attempt, or `None` if it refused the request as `not_run`.
    AttemptResult(AttemptKey, Option<SubAnswer>),
}

/// Identifies one attempt for a ticket: the incarnation of its owner, the ticket's number and the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptKey {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) attempt: u32,
}

impl AttemptKey {
    pub(super) fn request_id(self) -> RequestId {
        let text = format!("{}-{}-{}", self.incarnation, self.number, self.attempt);
        text.parse().unwrap()
    }
}

pub(super) fn request_id(request: usize) -> RequestId {
    format!("r{request}").parse().unwrap()
}

/// Returns the answer of a replica to the attempt `request_id`.
pub(super) fn sub_answer(request_id: RequestId) -> SubAnswer {
    let value = match request_id.as_str() {
        "other" => "another caller's booking",
        _ => "booked",
    };
    SubAnswer {
        request_id,
        snapshot: SnapshotId(1),
        start: REQUEST_KEY,
        end: REQUEST_KEY + 1,
        rows: vec![RowEntry {
            key: REQUEST_KEY,
            value: value.to_owned(),
        }],
        held: Vec::new(),
        draining: false,
        in_flight: None,
    }
}

/// Returns the outcome of a request that is completed by the answers that `gather` has accepted.
pub(super) fn done_outcome(gather: AnswerGather) -> TicketOutcome {
    let gathered = gather.finish();
    let coverage: &CoverageReport = &gathered.coverage;
    TicketOutcome::Done(Arc::new(QueryAnswer {
        request_id: "first".parse().unwrap(),
        outcome: QueryOutcome::Done,
        coverage: Some(coverage.into()),
        rows: gathered.rows,
        snapshot: gathered.snapshot,
        ticket: None,
        error: None,
    }))
}

/// Parses the name of an instance, such as `e1`, or of a replica, such as `u1`.
pub(super) fn parse_node(name: &str) -> NodeId {
    let (kind, number) = name.split_at(1);
    let index = number.parse::<usize>().unwrap() - 1;
    match kind {
        "e" => NodeId::Instance(index),
        "u" => NodeId::Replica(index),
        _ => panic!("unknown node `{name}`"),
    }
}

/// Returns the index of the instance with this name.
pub(super) fn instance_index(name: &str) -> usize {
    let NodeId::Instance(index) = parse_node(name) else {
        panic!("`{name}` is not an entry instance");
    };
    index
}
