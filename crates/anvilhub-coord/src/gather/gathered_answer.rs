use crate::border::query::RowEntry;
use crate::ids::SnapshotId;

use super::CoverageReport;

/// The whole answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct GatheredAnswer {
    /// Snapshot that every row comes from; `None` if nothing is covered and no snapshot was chosen.
    pub snapshot: Option<SnapshotId>,
    /// The rows in ascending order of their keys.
    pub rows: Vec<RowEntry>,
    /// Coverage of the requested range by the rows.
    pub coverage: CoverageReport,
}
