use derive_more::Display;

use crate::border::query::MissingEntry;
use crate::keyspace::KeyRange;

use super::MissingReason;

/// A range of requested keys that the answer does not cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{range} {reason}")]
pub struct MissingRange {
    /// The keys.
    pub range: KeyRange,
    /// Why they are missing.
    pub reason: MissingReason,
}

impl From<&MissingRange> for MissingEntry {
    fn from(missing: &MissingRange) -> Self {
        Self {
            start: missing.range.start,
            end: missing.range.end,
            reason: missing.reason,
        }
    }
}
