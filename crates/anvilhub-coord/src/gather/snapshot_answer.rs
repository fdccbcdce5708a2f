use crate::border::query::RowEntry;
use crate::ids::SnapshotId;
use crate::keyspace::{KeyRange, RangeSet};
use crate::mutation;

/// Rows and coverage gathered at one snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAnswer {
    /// `None` until the snapshot is pinned or set by the first answer.
    pub(crate) snapshot: Option<SnapshotId>,
    pub(crate) covered: RangeSet,
    pub(crate) rows: Vec<RowEntry>,
    /// Total size of the values of `rows`, in bytes.
    pub(crate) value_bytes: usize,
}

impl SnapshotAnswer {
    /// Creates an empty answer at `snapshot`.
    pub(crate) fn new(snapshot: SnapshotId) -> Self {
        Self {
            snapshot: Some(snapshot),
            ..Self::default()
        }
    }

    /// Adds the rows of newly covered keys. Rows of keys that another upstream already searched are dropped.
    pub(crate) fn add_rows(&mut self, searched: KeyRange, rows: Vec<RowEntry>) {
        let newly_covered = self.covered.gaps_in(searched);
        let is_new = |row: &RowEntry| {
            let mut ranges = newly_covered.ranges().iter();
            ranges.any(|range| range.contains(row.key)) || mutation::is_active("overlap_repeats")
        };
        for row in rows.into_iter().filter(is_new) {
            self.value_bytes += row.value.len();
            self.rows.push(row);
        }
        self.covered.insert(searched);
    }

    /// Returns the answer that covers more keys, or `other` if both cover the same number.
    pub(crate) fn max_by_coverage(self, other: Self) -> Self {
        match self.covered.len() > other.covered.len() {
            true => self,
            false => other,
        }
    }
}
