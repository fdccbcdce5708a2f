//! Guards against merged answers that lack one of the greatest records, lose duplicates or are in the wrong order.

use anvilhub_coord::gateway::{RECORD_BYTES, TopRecords};
use proptest::prelude::*;

fn sort_records(bodies: &[Vec<u8>], max_records: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = bodies
        .iter()
        .flat_map(|body| body.chunks_exact(RECORD_BYTES))
        .collect();
    records.sort_unstable_by(|first, second| second.cmp(first));
    records
        .into_iter()
        .take(max_records)
        .flatten()
        .copied()
        .collect()
}

proptest! {
    /// Answers of any length, with duplicate records and with remainders shorter than a record.
    #[test]
    fn records_match_sort(
        bodies in prop::collection::vec(prop::collection::vec(0..3_u8, 0..200), 0..6),
        max_records in 0..8_usize,
    ) {
        let mut top = TopRecords::new(max_records);
        for body in &bodies {
            top.add_answer(body);
        }
        prop_assert_eq!(top.into_bytes(), sort_records(&bodies, max_records));
    }
}
