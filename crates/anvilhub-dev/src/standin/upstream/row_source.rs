use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;

use super::service_time_sampler::{hash_bytes, splitmix};

/// Returns the rows that a search of `range` finds.
///
/// Each row depends only on its key, the snapshot and the query, so the combined answer is the same for every
/// partitioning of the key space. Keys that are multiples of `stride` have a row; in a range of one key, that
/// key always has a row.
pub fn generate_rows(
    range: KeyRange,
    stride: u64,
    snapshot: SnapshotId,
    query: &str,
) -> Vec<RowEntry> {
    if range.len() == 1 {
        return vec![generate_row(range.start, snapshot, query)];
    }
    let first = range.start.div_ceil(stride);
    (first..range.end.div_ceil(stride))
        .map(|index| generate_row(index * stride, snapshot, query))
        .collect()
}

fn generate_row(key: u64, snapshot: SnapshotId, query: &str) -> RowEntry {
    let hash = hash_bytes(splitmix(key ^ splitmix(snapshot.get())), query.as_bytes());
    RowEntry {
        key,
        value: format!("s{snapshot}-{hash:016x}"),
    }
}
