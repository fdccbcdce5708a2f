//! Messages of the ticket world, and the answers they carry.

use std::sync::Arc;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, RowEntry};
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{AnswerGather, CoverageReport};
use anvilhub_coord::ids::{Incarnation, RequestId, SnapshotId};
use anvilhub_coord::ticket::TicketOutcome;

use super::request_world::KEY;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Caller,
    Entry(usize),
    Replica(usize),
}

#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) from: Node,
    pub(super) to: Node,
    pub(super) body: Body,
}

#[derive(Clone, Debug)]
pub(super) enum Body {
    Request(usize),
    Reply(usize, QueryAnswer),
    Execute(TryKey),
    /// The upstream's answer, or `None` for its `not_run`.
    Executed(TryKey, Option<SubAnswer>),
}

/// One try of one ticket of one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TryKey {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) tries: u32,
}

impl TryKey {
    pub(super) fn request_id(self) -> RequestId {
        let text = format!("{}-{}-{}", self.incarnation, self.number, self.tries);
        text.parse().unwrap()
    }
}

pub(super) fn request_id(attempt: usize) -> RequestId {
    format!("r{attempt}").parse().unwrap()
}

pub(super) fn sub_answer(request_id: RequestId) -> SubAnswer {
    let value = match request_id.as_str() {
        "other" => "another caller's booking",
        _ => "booked",
    };
    SubAnswer {
        request_id,
        snapshot: SnapshotId(1),
        start: KEY,
        end: KEY + 1,
        rows: vec![RowEntry {
            key: KEY,
            value: value.to_owned(),
        }],
        held: Vec::new(),
        draining: false,
        in_flight: None,
    }
}

pub(super) fn done(gather: AnswerGather) -> TicketOutcome {
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

pub(super) fn node(name: &str) -> Node {
    let (kind, number) = name.split_at(1);
    let index = number.parse::<usize>().unwrap() - 1;
    match kind {
        "e" => Node::Entry(index),
        "u" => Node::Replica(index),
        _ => panic!("unknown node `{name}`"),
    }
}

pub(super) fn entry_index(name: &str) -> usize {
    let Node::Entry(index) = node(name) else {
        panic!("`{name}` is not an entry instance");
    };
    index
}
