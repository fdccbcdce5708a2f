use crate::border::sheet::ShardEntry;
use crate::keyspace::{KEY_SPACE_END, KeyRange};

use super::SheetFault;

/// Checks that the shards of a service cover the key space without gaps or overlaps.
#[derive(Debug)]
pub(crate) struct RangeCheck<'a> {
    place: &'a str,
    shards: &'a [ShardEntry],
}

impl<'a> RangeCheck<'a> {
    /// Creates a check of the shards of the service at `place`.
    pub(crate) fn new(place: &'a str, shards: &'a [ShardEntry]) -> Self {
        Self { place, shards }
    }

    /// Returns a fault for every invalid range, overlap and gap.
    pub(crate) fn faults(&self) -> Vec<SheetFault> {
        if self.shards.is_empty() {
            return vec![SheetFault::new(
                format!("{}/shards", self.place),
                "no shards",
                "shards that cover the keys 0 to 4294967296",
                "name the shards of the service and their upstreams",
            )];
        }
        let mut faults: Vec<SheetFault> = self.range_faults().collect();
        faults.extend(self.overlap_faults());
        faults.extend(self.gap_faults());
        faults
    }

    fn range_faults(&self) -> impl Iterator<Item = SheetFault> {
        let is_invalid = |shard: &ShardEntry| shard.start >= shard.end || shard.end > KEY_SPACE_END;
        let shards = self.shards.iter().enumerate();
        shards
            .filter(move |(_, shard)| is_invalid(shard))
            .map(|(index, shard)| {
                SheetFault::new(
                    format!("{}/shards/{index}", self.place),
                    format!("the range {}..{}", shard.start, shard.end),
                    "a start below the end and an end of at most 4294967296",
                    "correct the first key (`start`) and the first key after the range (`end`)",
                )
            })
    }

    /// Returns the ranges that are not empty with the indexes of their shards, in ascending order.
    fn sorted_ranges(&self) -> Vec<(KeyRange, usize)> {
        let ranges = self.shards.iter().enumerate();
        let mut sorted: Vec<(KeyRange, usize)> = ranges
            .map(|(index, shard)| (KeyRange::new(shard.start, shard.end), index))
            .filter(|(range, _)| !range.is_empty())
            .collect();
        sorted.sort_unstable();
        sorted
    }

    fn overlap_faults(&self) -> Vec<SheetFault> {
        let mut faults = Vec::new();
        // The range with the highest end so far, and the index of its shard.
        let mut furthest: Option<(KeyRange, usize)> = None;
        for (range, index) in self.sorted_ranges() {
            if let Some((earlier, earlier_index)) = furthest
                && range.start < earlier.end
            {
                let shared = earlier.intersection(range);
                faults.push(SheetFault::new(
                    format!("{}/shards/{index}", self.place),
                    format!("the keys {shared} also belong to shard {earlier_index}"),
                    "ranges that share no key",
                    "correct `start` and `end` of the two shards",
                ));
            }
            if furthest.is_none_or(|(earlier, _)| earlier.end < range.end) {
                furthest = Some((range, index));
            }
        }
        faults
    }

    fn gap_faults(&self) -> Vec<SheetFault> {
        let mut covered_end = 0;
        let mut gaps = Vec::new();
        for (range, _) in self.sorted_ranges() {
            if covered_end < range.start.min(KEY_SPACE_END) {
                gaps.push(KeyRange::new(covered_end, range.start.min(KEY_SPACE_END)));
            }
            covered_end = covered_end.max(range.end);
        }
        if covered_end < KEY_SPACE_END {
            gaps.push(KeyRange::new(covered_end, KEY_SPACE_END));
        }
        gaps.iter().map(|gap| self.gap_fault(*gap)).collect()
    }

    fn gap_fault(&self, gap: KeyRange) -> SheetFault {
        SheetFault::new(
            format!("{}/shards", self.place),
            format!("no shard holds the keys {gap}"),
            "shards that cover the keys 0..4294967296",
            "extend a neighbouring shard or add the missing one",
        )
    }
}
