//! Guards against a coverage that counts a key twice, because ranges overlap, or that overlooks a gap between ranges.

use std::collections::BTreeSet;

use anvilhub_coord::keyspace::{KeyRange, RangeSet};

use crate::scenario::{EventOrder, test_seed};

#[test]
fn overlap_counted_once() {
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

#[test]
fn random_ranges_correct() {
    let seed = test_seed();
    println!("ANVILHUB_SEED={seed}");
    let mut order = EventOrder::random(seed);
    for _ in 0..500 {
        let mut set = RangeSet::default();
        let mut keys = BTreeSet::new();
        for _ in 0..12 {
            let start = order.pick(30) as u64;
            let range = KeyRange::new(start, start + order.pick(8) as u64);
            if order.pick(4) == 0 {
                set.remove(range);
                keys.retain(|&key| !range.contains(key));
            } else {
                set.insert(range);
                keys.extend(range.start..range.end);
            }
            let whole = KeyRange::new(5, 30);
            let gaps: Vec<_> = (5..30).filter(|key| !keys.contains(key)).collect();
            assert_eq!(list_keys(&set), Vec::from_iter(keys.iter().copied()));
            assert_eq!(list_keys(&set.gaps_in(whole)), gaps);
            let ranges = set.ranges().windows(2);
            assert!(ranges.into_iter().all(|pair| pair[0].end < pair[1].start));
        }
    }
}

fn list_keys(set: &RangeSet) -> Vec<u64> {
    let ranges = set.ranges().iter();
    ranges.flat_map(|range| range.start..range.end).collect()
}
