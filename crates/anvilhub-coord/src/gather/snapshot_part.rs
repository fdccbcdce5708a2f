use crate::border::query::RowEntry;
use crate::ids::SnapshotId;
use crate::keyspace::{KeyRange, RangeSet};
use crate::mutation;

/// What was gathered at one snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPart {
    pub(crate) snapshot: Option<SnapshotId>,
    pub(crate) covered: RangeSet,
    pub(crate) rows: Vec<RowEntry>,
    pub(crate) bytes: usize,
}

impl SnapshotPart {
    /// An empty part at `snapshot`.
    pub(crate) fn at(snapshot: SnapshotId) -> Self {
        Self {
            snapshot: Some(snapshot),
            ..Self::default()
        }
    }

    /// Keeps the rows of newly covered keys: keys that two upstreams searched count once.
    pub(crate) fn keep(&mut self, searched: KeyRange, rows: Vec<RowEntry>) {
        let fresh = self.covered.gaps_in(searched);
        let is_fresh = |row: &RowEntry| {
            let mut ranges = fresh.ranges().iter();
            ranges.any(|range| range.contains(row.key)) || mutation::is_active("overlap_repeats")
        };
        for row in rows.into_iter().filter(is_fresh) {
            self.bytes += row.value.len();
            self.rows.push(row);
        }
        self.covered.insert(searched);
    }

    /// The part that covers more keys, `other` among equals.
    pub(crate) fn wider(self, other: Self) -> Self {
        match self.covered.len() > other.covered.len() {
            true => self,
            false => other,
        }
    }
}
