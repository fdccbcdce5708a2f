use crate::border::query::CoverageEntry;
use crate::keyspace::{KeyRange, RangeSet};

use super::MissingRange;

/// How much of the requested range the answers from one snapshot cover.
#[derive(Clone, Debug, PartialEq)]
pub struct CoverageReport {
    /// Whether every requested key is covered.
    pub is_complete: bool,
    /// Covered fraction of the requested range, between 0 and 1.
    pub fraction: f64,
    /// The uncovered ranges in ascending order.
    pub missing: Vec<MissingRange>,
}

impl CoverageReport {
    /// Creates the report for the range `requested`, of which `covered` is covered and `missing` is not.
    pub(crate) fn new(requested: KeyRange, covered: &RangeSet, missing: Vec<MissingRange>) -> Self {
        let is_complete = covered.covers(requested);
        Self {
            is_complete,
            fraction: match is_complete {
                true => 1.0,
                false => covered.len() as f64 / requested.len() as f64,
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
