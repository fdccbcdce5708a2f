//! The greatest records of several parts.

use anvilhub_coord::gateway::{RECORD_BYTES, TopRecords};
use proptest::prelude::*;

fn expected(parts: &[Vec<u8>], most: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    records.sort_unstable_by(|first, second| second.cmp(first));
    records.into_iter().take(most).flatten().copied().collect()
}

proptest! {
    /// Any parts, with equal records and with remainders that are no record.
    #[test]
    fn matches_a_sort(parts in prop::collection::vec(prop::collection::vec(0..3_u8, 0..200), 0..6), most in 0..8_usize) {
        let mut top = TopRecords::new(most);
        for part in &parts {
            top.add(part);
        }
        prop_assert_eq!(top.into_bytes(), expected(&parts, most));
    }
}
