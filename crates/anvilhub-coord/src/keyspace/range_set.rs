use super::KeyRange;

/// A set of keys, stored as sorted, disjoint ranges that are not adjacent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSet {
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// Returns the disjoint ranges in ascending order.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the number of keys in the set.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|range| range.len()).sum()
    }

    /// Returns whether the set contains no key.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds the keys of `added`, of which the set may already contain some.
    pub fn insert(&mut self, added: KeyRange) {
        if added.is_empty() {
            return;
        }
        let start_index = self.ranges.partition_point(|range| range.end < added.start);
        let end_index = self
            .ranges
            .partition_point(|range| range.start <= added.end);
        let adjoining = &self.ranges[start_index..end_index];
        let start = adjoining.first().map_or(added.start, |range| range.start);
        let end = adjoining.last().map_or(added.end, |range| range.end);
        let merged = KeyRange::new(start.min(added.start), end.max(added.end));
        self.ranges.splice(start_index..end_index, [merged]);
    }

    /// Removes the keys of `removed`.
    pub fn remove(&mut self, removed: KeyRange) {
        if removed.is_empty() {
            return;
        }
        let split = |range: &KeyRange| {
            let before = KeyRange::new(range.start, range.end.min(removed.start));
            let after = KeyRange::new(range.start.max(removed.end), range.end);
            [before, after]
        };
        self.ranges = self
            .ranges
            .iter()
            .flat_map(split)
            .filter(|range| !range.is_empty())
            .collect();
    }

    /// Returns the keys of `whole` that the set does not contain.
    pub fn gaps_in(&self, whole: KeyRange) -> Self {
        let mut gaps = Vec::new();
        let mut start = whole.start;
        for range in &self.ranges {
            if range.start >= whole.end {
                break;
            }
            if range.start > start {
                gaps.push(KeyRange::new(start, range.start));
            }
            start = start.max(range.end);
        }
        if start < whole.end {
            gaps.push(KeyRange::new(start, whole.end));
        }
        Self { ranges: gaps }
    }

    /// Returns whether the set contains every key of `range`.
    pub fn covers(&self, range: KeyRange) -> bool {
        self.gaps_in(range).is_empty()
    }
}

impl FromIterator<KeyRange> for RangeSet {
    fn from_iter<I: IntoIterator<Item = KeyRange>>(ranges: I) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.insert(range);
        }
        set
    }
}
