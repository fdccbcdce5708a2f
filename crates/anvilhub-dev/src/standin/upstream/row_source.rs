use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;

use super::service_time::{hash_bytes, mix};

/// The rows that a search of `range` finds.
///
/// Each row depends on its key, the snapshot and the query alone, so that the whole answer is the same
/// however the key space is divided. Keys that are multiples of `stride` hold a row; a range of one key
/// always does.
pub fn rows_of(range: KeyRange, stride: u64, snapshot: SnapshotId, query: &str) -> Vec<RowEntry> {
    if range.len() == 1 {
        return vec![row_at(range.start, snapshot, query)];
    }
    let first = range.start.div_ceil(stride);
    (first..range.end.div_ceil(stride))
        .map(|index| row_at(index * stride, snapshot, query))
        .collect()
}

fn row_at(key: u64, snapshot: SnapshotId, query: &str) -> RowEntry {
    let hash = hash_bytes(mix(key ^ mix(snapshot.get())), query.as_bytes());
    RowEntry {
        key,
        value: format!("s{snapshot}-{hash:016x}"),
    }
}
