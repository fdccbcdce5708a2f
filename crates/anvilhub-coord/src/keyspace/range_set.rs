use super::KeyRange;

/// A set of keys, kept as disjoint sorted ranges that do not touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSet {
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// The disjoint ranges in ascending order.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Number of keys in the set.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|range| range.len()).sum()
    }

    /// Says whether the set holds no key.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds the keys of `added`; keys that the set already holds count once.
    pub fn insert(&mut self, added: KeyRange) {
        if added.is_empty() {
            return;
        }
        let mut merged = added;
        let mut kept = Vec::with_capacity(self.ranges.len() + 1);
        for &range in &self.ranges {
            if range.end < merged.start || merged.end < range.start {
                kept.push(range);
                continue;
            }
            merged.start = merged.start.min(range.start);
            merged.end = merged.end.max(range.end);
        }
        kept.push(merged);
        kept.sort_unstable();
        self.ranges = kept;
    }

    /// Removes the keys of `removed`.
    pub fn remove(&mut self, removed: KeyRange) {
        let cut = |range: &KeyRange| {
            let before = KeyRange::new(range.start, range.end.min(removed.start));
            let after = KeyRange::new(range.start.max(removed.end), range.end);
            [before, after]
        };
        self.ranges = self
            .ranges
            .iter()
            .flat_map(cut)
            .filter(|range| !range.is_empty())
            .collect();
    }

    /// The keys of `whole` that the set does not hold.
    pub fn gaps_in(&self, whole: KeyRange) -> Self {
        let mut gaps = Self::default();
        gaps.insert(whole);
        for &range in &self.ranges {
            gaps.remove(range);
        }
        gaps
    }

    /// Says whether the set holds every key of `range`.
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
