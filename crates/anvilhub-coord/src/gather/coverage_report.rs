use crate::border::query::CoverageEntry;
use crate::keyspace::{KeyRange, RangeSet};

use super::MissingRange;

/// How much of the asked range one snapshot's answers cover.
#[derive(Clone, Debug, PartialEq)]
pub struct CoverageReport {
    /// Says whether every asked key is covered.
    pub is_complete: bool,
    /// Covered part of the asked range, between 0 and 1.
    pub fraction: f64,
    /// The uncovered ranges in ascending order.
    pub missing: Vec<MissingRange>,
}

impl CoverageReport {
    /// The report for `asked` of which `covered` is covered and `missing` is not.
    pub(crate) fn new(asked: KeyRange, covered: &RangeSet, missing: Vec<MissingRange>) -> Self {
        let complete = covered.covers(asked);
        Self {
            is_complete: complete,
            fraction: match complete {
                true => 1.0,
                false => covered.len() as f64 / asked.len() as f64,
            },
            missing,
        }
    }
}

impl From<&CoverageReport> for CoverageEntry {
    fn from(report: &CoverageReport) -> Self {
        Self {
            complete: report.is_complete,
            fraction: report.fraction,
            missing: report.missing.iter().map(Into::into).collect(),
        }
    }
}
