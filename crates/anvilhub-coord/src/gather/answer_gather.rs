use crate::border::upstream::SubAnswer;
use crate::ids::{RequestId, SnapshotId};
use crate::keyspace::{KeyRange, RangeSet};
use crate::mutation;

use super::pending_requests::PendingRequests;
use super::snapshot_answer::SnapshotAnswer;
use super::{
    AnswerFault, CoverageReport, GatherLimits, GatheredAnswer, MissingRange, MissingReason, Result,
};

/// Gathers the sub-answers to one request.
///
/// [`AnswerGather::pin_snapshot`] sets the snapshot, [`AnswerGather::register`] registers each sub-request before it
/// is sent, and [`AnswerGather::accept_answer`] or [`AnswerGather::record_failure`] ends it.
#[derive(Debug)]
pub struct AnswerGather {
    requested: KeyRange,
    limits: GatherLimits,
    pending: PendingRequests,
    /// What was gathered at the current snapshot.
    current: SnapshotAnswer,
    /// What was gathered at the earlier snapshot with the widest coverage.
    earlier: SnapshotAnswer,
    /// Ranges that could not be covered and the reasons, the latest one last.
    failures: Vec<MissingRange>,
    /// Ranges that `take_repartitioned` has returned for the current snapshot.
    requested_again: RangeSet,
}

impl AnswerGather {
    /// Starts gathering the answer for the range `requested`.
    pub fn new(requested: KeyRange, limits: GatherLimits) -> Self {
        Self {
            requested,
            limits,
            pending: PendingRequests::default(),
            current: SnapshotAnswer::default(),
            earlier: SnapshotAnswer::default(),
            failures: Vec::new(),
            requested_again: RangeSet::default(),
        }
    }

    /// The range that the request searches.
    pub fn requested_range(&self) -> KeyRange {
        self.requested
    }

    /// The snapshot that the answer comes from, once it is pinned or set by the first sub-answer.
    pub fn snapshot(&self) -> Option<SnapshotId> {
        self.current.snapshot
    }

    /// Sets the snapshot to gather at and returns the sub-requests to cancel.
    ///
    /// Snapshots are never mixed: if the snapshot changes, gathering starts again without rows, and the awaited
    /// sub-requests are abandoned. The rows of the earlier snapshot with the widest coverage are kept, and become
    /// the answer if no later snapshot covers as much.
    pub fn pin_snapshot(&mut self, snapshot: SnapshotId) -> Vec<RequestId> {
        let previous = self.current.snapshot.replace(snapshot);
        let is_same = previous.is_none_or(|previous| previous == snapshot);
        if is_same || mutation::is_active("pin_keeps_rows") {
            return Vec::new();
        }
        let mut replaced = std::mem::replace(&mut self.current, SnapshotAnswer::new(snapshot));
        replaced.snapshot = previous;
        self.earlier = std::mem::take(&mut self.earlier).max_by_coverage(replaced);
        self.requested_again = RangeSet::default();
        let abandoned: Vec<_> = self.pending.awaited().map(|(id, _)| id.clone()).collect();
        for id in &abandoned {
            self.record_failure(id, MissingReason::SnapshotUnavailable);
        }
        self.record_missing(self.requested, MissingReason::SnapshotUnavailable);
        abandoned
    }

    /// Registers the sub-request `id` for `range`. Every sub-request, including a hedge, has its own id.
    pub fn register(&mut self, id: RequestId, range: KeyRange) {
        self.pending.insert(id, range.intersection(self.requested));
    }

    /// Adds the answer that arrived for the sub-request `id`.
    ///
    /// # Errors
    ///
    /// Fails if the answer names another sub-request, arrives twice or late, comes from another snapshot, claims
    /// keys that were not requested, or exceeds a limit. The range then stays missing.
    /// [`AnswerFault::OtherRequest`] ends the sub-request as well: its connection has to be closed.
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
        if let Err(fault) = self.check_answer(range, &answer) {
            self.record_missing(range, fault.missing_reason());
            return Err(fault);
        }
        self.current.snapshot.get_or_insert(answer.snapshot);
        let covered = match mutation::is_active("asked_counts_as_covered") {
            true => range,
            false => searched,
        };
        self.current.add_rows(covered, answer.rows);
        self.record_unsearched(range, searched);
        Ok(())
    }

    /// Ends the sub-request `id` without an answer.
    pub fn record_failure(&mut self, id: &RequestId, reason: MissingReason) {
        if let Some(range) = self.pending.mark_abandoned(id) {
            self.record_missing(range, reason);
        }
    }

    /// Records why `range` cannot be requested, such as a shard without a replica.
    pub fn record_missing(&mut self, range: KeyRange, reason: MissingReason) {
        let range = range.intersection(self.requested);
        if !range.is_empty() {
            self.failures.push(MissingRange { range, reason });
        }
    }

    /// The uncovered keys that no awaited sub-request is searching.
    pub fn gaps(&self) -> RangeSet {
        let mut gaps = self.current.covered.gaps_in(self.requested);
        for (_, range) in self.pending.awaited() {
            gaps.remove(range);
        }
        gaps
    }

    /// Returns the gaps that a repartition left, each key at most once per snapshot. The caller requests them from
    /// upstreams of the service whose last reported range contains them.
    pub fn take_repartitioned(&mut self) -> RangeSet {
        // This check comes first because the method is called after every answer, and finding the gaps takes a pass
        // over all shards of the request, of which there can be hundreds.
        let is_repartitioned =
            |missing: &MissingRange| missing.reason == MissingReason::Repartitioned;
        if !self.failures.iter().any(is_repartitioned) {
            return RangeSet::default();
        }
        let mut gaps = self.gaps();
        for &range in self.requested_again.ranges() {
            gaps.remove(range);
        }
        let repartitioned: RangeSet = self
            .add_reasons(gaps)
            .into_iter()
            .filter(is_repartitioned)
            .map(|missing| missing.range)
            .collect();
        for &range in repartitioned.ranges() {
            self.requested_again.insert(range);
        }
        repartitioned
    }

    /// Returns whether every requested key is covered at the current snapshot.
    pub fn is_complete(&self) -> bool {
        self.current.covered.covers(self.requested)
    }

    /// Returns whether no sub-request is awaited.
    pub fn is_idle(&self) -> bool {
        self.pending.awaited().next().is_none()
    }

    /// The sub-requests that are still awaited, to cancel when the answer is sent without them.
    pub fn awaited_requests(&self) -> impl Iterator<Item = &RequestId> {
        self.pending.awaited().map(|(id, _)| id)
    }

    /// Returns the coverage of the answer if it were sent now. The ranges of awaited sub-requests count as missing with
    /// the reason `timeout`.
    pub fn coverage_report(&self) -> CoverageReport {
        match self.earlier.covered.len() > self.current.covered.len() {
            true => self.report_on(&self.earlier),
            false => self.report_on(&self.current),
        }
    }

    /// Ends gathering and returns the answer. Sub-answers that arrive later cannot be added.
    pub fn finish(mut self) -> GatheredAnswer {
        let coverage = self.coverage_report();
        let earlier = std::mem::take(&mut self.earlier);
        let SnapshotAnswer {
            snapshot, mut rows, ..
        } = earlier.max_by_coverage(self.current);
        rows.sort_by_key(|row| row.key);
        GatheredAnswer {
            snapshot,
            rows,
            coverage,
        }
    }

    fn report_on(&self, answer: &SnapshotAnswer) -> CoverageReport {
        let missing = match mutation::is_active("gaps_unnamed") {
            true => Vec::new(),
            false => self.add_reasons(answer.covered.gaps_in(self.requested)),
        };
        CoverageReport::new(self.requested, &answer.covered, missing)
    }

    fn check_answer(&self, range: KeyRange, answer: &SubAnswer) -> Result<()> {
        self.check_range(range, KeyRange::new(answer.start, answer.end))?;
        self.check_snapshot(answer.snapshot)?;
        self.check_size(answer)
    }

    /// Checks that the searched range `found` is valid. It may be empty: the upstream then no longer holds any of
    /// the requested keys.
    fn check_range(&self, requested: KeyRange, found: KeyRange) -> Result<()> {
        let is_valid = found.start <= found.end && requested.covers(found);
        match is_valid || mutation::is_active("any_range_counts") {
            true => Ok(()),
            false => Err(AnswerFault::OutOfRange { requested, found }),
        }
    }

    fn check_snapshot(&self, found: SnapshotId) -> Result<()> {
        match self.current.snapshot {
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
        if self.current.rows.len() + answer.rows.len() > max_rows {
            return Err(AnswerFault::Oversized {
                limit: max_rows as u64,
                unit: "rows",
            });
        }
        let bytes: usize = answer.rows.iter().map(|row| row.value.len()).sum();
        match self.current.value_bytes + bytes > max_bytes {
            true => Err(AnswerFault::Oversized {
                limit: max_bytes as u64,
                unit: "bytes",
            }),
            false => Ok(()),
        }
    }

    /// Records the part of the requested range that the upstream did not search as repartitioned.
    fn record_unsearched(&mut self, requested: KeyRange, searched: KeyRange) {
        let searched: RangeSet = [searched].into_iter().collect();
        for &range in searched.gaps_in(requested).ranges() {
            self.record_missing(range, MissingReason::Repartitioned);
        }
    }

    /// Splits the missing keys into ranges, each with the latest reason that was recorded for it.
    fn add_reasons(&self, mut missing: RangeSet) -> Vec<MissingRange> {
        let mut ranges = Vec::new();
        let awaited = self.pending.awaited().map(|(_, range)| MissingRange {
            range,
            reason: MissingReason::Timeout,
        });
        let not_requested = MissingRange {
            range: self.requested,
            reason: MissingReason::NoReplica,
        };
        let failures = self.failures.iter().rev().copied();
        for cause in awaited.chain(failures).chain([not_requested]) {
            let affected: Vec<_> = (missing.ranges().iter())
                .map(|range| range.intersection(cause.range))
                .filter(|range| !range.is_empty())
                .collect();
            for range in affected {
                missing.remove(range);
                ranges.push(MissingRange { range, ..cause });
            }
        }
        ranges.sort_by_key(|missing| missing.range);
        merge_adjacent(ranges)
    }
}

fn check_request(expected: &RequestId, answer: &SubAnswer) -> Result<()> {
    let is_other = answer.request_id != *expected;
    match is_other && !mutation::is_active("crossed_answer_accepted") {
        true => Err(AnswerFault::OtherRequest {
            expected: expected.clone(),
            found: answer.request_id.clone(),
        }),
        false => Ok(()),
    }
}

/// Merges adjacent ranges with the same reason.
fn merge_adjacent(sorted: Vec<MissingRange>) -> Vec<MissingRange> {
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
