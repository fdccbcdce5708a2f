use crate::border::upstream::SubAnswer;
use crate::ids::{RequestId, SnapshotId};
use crate::keyspace::{KeyRange, RangeSet};
use crate::mutation;

use super::pending_requests::PendingRequests;
use super::snapshot_part::SnapshotPart;
use super::{
    AnswerFault, CoverageReport, GatherLimits, GatheredAnswer, MissingRange, MissingReason, Result,
};

/// Gathers the sub-answers to one request.
///
/// [`AnswerGather::pin`] sets the snapshot, [`AnswerGather::expect`] registers each sub-request before it is
/// sent, and [`AnswerGather::accept`] or [`AnswerGather::fail`] ends it.
#[derive(Debug)]
pub struct AnswerGather {
    asked: KeyRange,
    limits: GatherLimits,
    pending: PendingRequests,
    /// What was gathered at the present snapshot.
    part: SnapshotPart,
    /// The widest part of the snapshots before it.
    earlier: SnapshotPart,
    /// Why ranges are missing, the latest reason last.
    failures: Vec<MissingRange>,
    /// Ranges that were handed out after a repartition.
    asked_again: RangeSet,
}

impl AnswerGather {
    /// Starts gathering the answer over `asked`.
    pub fn new(asked: KeyRange, limits: GatherLimits) -> Self {
        Self {
            asked,
            limits,
            pending: PendingRequests::default(),
            part: SnapshotPart::default(),
            earlier: SnapshotPart::default(),
            failures: Vec::new(),
            asked_again: RangeSet::default(),
        }
    }

    /// The range that the request asks for.
    pub fn requested_range(&self) -> KeyRange {
        self.asked
    }

    /// The snapshot that the answer comes from, once chosen or fixed by the first sub-answer.
    pub fn snapshot(&self) -> Option<SnapshotId> {
        self.part.snapshot
    }

    /// Fixes the snapshot to gather at and returns the sub-requests to cancel.
    ///
    /// Another snapshot than the present one starts from nothing and gives up what is awaited: snapshots
    /// are never mixed. The widest earlier part is kept aside, and is the answer when it stays the widest.
    pub fn pin_snapshot(&mut self, snapshot: SnapshotId) -> Vec<RequestId> {
        let previous = self.part.snapshot.replace(snapshot);
        let is_same = previous.is_none_or(|previous| previous == snapshot);
        if is_same || mutation::is_active("pin_keeps_rows") {
            return Vec::new();
        }
        let mut part = std::mem::replace(&mut self.part, SnapshotPart::at(snapshot));
        part.snapshot = previous;
        self.earlier = std::mem::take(&mut self.earlier).wider(part);
        self.asked_again = RangeSet::default();
        let stale: Vec<_> = self.pending.awaited().map(|(id, _)| id.clone()).collect();
        for id in &stale {
            self.record_failure(id, MissingReason::SnapshotUnavailable);
        }
        self.record_missing(self.asked, MissingReason::SnapshotUnavailable);
        stale
    }

    /// Registers the sub-request `id` for `range`. Every sub-request, hedges too, has an id of its own.
    pub fn register(&mut self, id: RequestId, range: KeyRange) {
        self.pending.insert(id, range.intersection(self.asked));
    }

    /// Takes the answer that arrived for the sub-request `id`.
    ///
    /// # Errors
    ///
    /// Refuses an answer that names another sub-request, arrives twice or late, comes from another
    /// snapshot, claims keys that were not asked, or exceeds a bound. The range stays missing then. After
    /// [`AnswerFault::OtherRequest`] the sub-request is over as well: its connection has to be closed.
    pub fn accept_answer(&mut self, id: &RequestId, answer: SubAnswer) -> Result<()> {
        let awaited = self.pending.mark_answered(id);
        if let Err(fault) = check_request(id, &answer) {
            if let Ok(range) = awaited {
                self.record_missing(range, fault.missing_reason());
            }
            return Err(fault);
        }
        let range = awaited?;
        let searched = KeyRange::new(answer.start, answer.end);
        if let Err(fault) = self.check(range, &answer) {
            self.record_missing(range, fault.missing_reason());
            return Err(fault);
        }
        self.part.snapshot.get_or_insert(answer.snapshot);
        let counted = match mutation::is_active("asked_counts_as_covered") {
            true => range,
            false => searched,
        };
        self.part.keep(counted, answer.rows);
        self.note_unsearched(range, searched);
        Ok(())
    }

    /// Ends the sub-request `id` without an answer.
    pub fn record_failure(&mut self, id: &RequestId, reason: MissingReason) {
        if let Some(range) = self.pending.mark_given_up(id) {
            self.record_missing(range, reason);
        }
    }

    /// Records why `range` cannot be asked for, such as a shard without a replica.
    pub fn record_missing(&mut self, range: KeyRange, reason: MissingReason) {
        let range = range.intersection(self.asked);
        if !range.is_empty() {
            self.failures.push(MissingRange { range, reason });
        }
    }

    /// The uncovered keys that no awaited sub-request covers.
    pub fn gaps(&self) -> RangeSet {
        let mut gaps = self.part.covered.gaps_in(self.asked);
        for (_, range) in self.pending.awaited() {
            gaps.remove(range);
        }
        gaps
    }

    /// Hands out the gaps that a repartition left, each key once for a snapshot. The caller asks any
    /// upstream of the service whose last reported range covers them.
    pub fn take_repartitioned(&mut self) -> RangeSet {
        // Callers ask after every answer, and the gaps of a request with hundreds of shards cost a pass over
        // all of them.
        let is_moved = |missing: &MissingRange| missing.reason == MissingReason::Repartitioned;
        if !self.failures.iter().any(is_moved) {
            return RangeSet::default();
        }
        let mut gaps = self.gaps();
        for &range in self.asked_again.ranges() {
            gaps.remove(range);
        }
        let repartitioned: RangeSet = self
            .explain(gaps)
            .into_iter()
            .filter(is_moved)
            .map(|missing| missing.range)
            .collect();
        for &range in repartitioned.ranges() {
            self.asked_again.insert(range);
        }
        repartitioned
    }

    /// Says whether every asked key is covered at the present snapshot.
    pub fn is_complete(&self) -> bool {
        self.part.covered.covers(self.asked)
    }

    /// Says whether no sub-request is awaited.
    pub fn is_idle(&self) -> bool {
        self.pending.awaited().next().is_none()
    }

    /// The sub-requests that are still awaited, to cancel when the answer goes out without them.
    pub fn awaited_requests(&self) -> impl Iterator<Item = &RequestId> {
        self.pending.awaited().map(|(id, _)| id)
    }

    /// What the answer would cover if it went out now. Awaited sub-requests count as `timeout`.
    pub fn coverage_report(&self) -> CoverageReport {
        match self.earlier.covered.len() > self.part.covered.len() {
            true => self.report_part(&self.earlier),
            false => self.report_part(&self.part),
        }
    }

    /// Ends gathering. Answers that arrive from now on have nothing to be accepted by.
    pub fn finish(mut self) -> GatheredAnswer {
        let coverage = self.coverage_report();
        let earlier = std::mem::take(&mut self.earlier);
        let SnapshotPart {
            snapshot, mut rows, ..
        } = earlier.wider(self.part);
        rows.sort_by_key(|row| row.key);
        GatheredAnswer {
            snapshot,
            rows,
            coverage,
        }
    }

    fn report_part(&self, part: &SnapshotPart) -> CoverageReport {
        let missing = match mutation::is_active("gaps_unnamed") {
            true => Vec::new(),
            false => self.explain(part.covered.gaps_in(self.asked)),
        };
        CoverageReport::new(self.asked, &part.covered, missing)
    }

    fn check(&self, range: KeyRange, answer: &SubAnswer) -> Result<()> {
        self.check_range(range, KeyRange::new(answer.start, answer.end))?;
        self.check_snapshot(answer.snapshot)?;
        self.check_size(answer)
    }

    /// An empty range is fine: the upstream owns none of the asked keys any more.
    fn check_range(&self, asked: KeyRange, found: KeyRange) -> Result<()> {
        let is_fine = found.start <= found.end && asked.covers(found);
        match is_fine || mutation::is_active("any_range_counts") {
            true => Ok(()),
            false => Err(AnswerFault::OutOfRange { asked, found }),
        }
    }

    fn check_snapshot(&self, found: SnapshotId) -> Result<()> {
        match self.part.snapshot {
            Some(pinned) if pinned != found && !mutation::is_active("snapshots_mixed") => {
                Err(AnswerFault::WrongSnapshot { pinned, found })
            }
            _ => Ok(()),
        }
    }

    fn check_size(&self, answer: &SubAnswer) -> Result<()> {
        let GatherLimits {
            max_rows,
            max_bytes,
        } = self.limits;
        if self.part.rows.len() + answer.rows.len() > max_rows {
            return Err(AnswerFault::Oversized {
                limit: max_rows as u64,
                unit: "rows",
            });
        }
        let bytes: usize = answer.rows.iter().map(|row| row.value.len()).sum();
        match self.part.bytes + bytes > max_bytes {
            true => Err(AnswerFault::Oversized {
                limit: max_bytes as u64,
                unit: "bytes",
            }),
            false => Ok(()),
        }
    }

    fn note_unsearched(&mut self, asked: KeyRange, searched: KeyRange) {
        let found: RangeSet = [searched].into_iter().collect();
        for &range in found.gaps_in(asked).ranges() {
            self.record_missing(range, MissingReason::Repartitioned);
        }
    }

    /// Gives each missing range its latest reason.
    fn explain(&self, mut missing: RangeSet) -> Vec<MissingRange> {
        let mut explained = Vec::new();
        let awaited = self.pending.awaited().map(|(_, range)| MissingRange {
            range,
            reason: MissingReason::Timeout,
        });
        let unasked = MissingRange {
            range: self.asked,
            reason: MissingReason::NoReplica,
        };
        let failures = self.failures.iter().rev().copied();
        for cause in awaited.chain(failures).chain([unasked]) {
            let parts = missing.ranges().iter();
            let parts: Vec<_> = parts
                .map(|part| part.intersection(cause.range))
                .filter(|part| !part.is_empty())
                .collect();
            for range in parts {
                missing.remove(range);
                explained.push(MissingRange { range, ..cause });
            }
        }
        explained.sort_by_key(|missing| missing.range);
        merge_neighbours(explained)
    }
}

fn check_request(asked: &RequestId, answer: &SubAnswer) -> Result<()> {
    let is_other = answer.request_id != *asked;
    match is_other && !mutation::is_active("crossed_answer_accepted") {
        true => Err(AnswerFault::OtherRequest {
            asked: asked.clone(),
            found: answer.request_id.clone(),
        }),
        false => Ok(()),
    }
}

/// Joins ranges that touch and have one reason.
fn merge_neighbours(sorted: Vec<MissingRange>) -> Vec<MissingRange> {
    let mut merged: Vec<MissingRange> = Vec::with_capacity(sorted.len());
    for missing in sorted {
        match merged.last_mut() {
            Some(last)
                if last.range.end == missing.range.start && last.reason == missing.reason =>
            {
                last.range.end = missing.range.end;
            }
            _ => merged.push(missing),
        }
    }
    merged
}
