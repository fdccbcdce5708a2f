//! Guards against coverage that counts a key twice or misses a gap.

use anvilhub_coord::keyspace::{KeyRange, RangeSet};

#[test]
fn overlap_counts_once() {
    let set: RangeSet = [KeyRange::new(0, 10), KeyRange::new(5, 20)]
        .into_iter()
        .collect();

    assert_eq!(set.ranges(), [KeyRange::new(0, 20)]);
    assert_eq!(set.len(), 20);
}

#[test]
fn gap_is_reported() {
    let set: RangeSet = [KeyRange::new(0, 10), KeyRange::new(12, 20)]
        .into_iter()
        .collect();

    assert_eq!(
        set.gaps_in(KeyRange::new(0, 20)).ranges(),
        [KeyRange::new(10, 12)]
    );
    assert!(!set.covers(KeyRange::new(0, 20)));
}

#[test]
fn removal_splits_range() {
    let mut set: RangeSet = [KeyRange::WHOLE].into_iter().collect();
    set.remove(KeyRange::new(4, 6));

    assert!(set.covers(KeyRange::new(0, 4)));
    assert!(!set.covers(KeyRange::single(4)));
    assert!(set.covers(KeyRange::new(6, 100)));
}
