use std::time::Duration;

/// Chooses the shards that a gathered request skips from the start.
///
/// Designed for shards whose upstreams have all become so slow that their queues are longer than callers wait: a
/// sub-request that would be answered after the cutoff only lengthens the queue for requests that need it. Skips only
/// as many shards as the answer can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkipRule {
    /// Maximum expected time of a sub-request that is sent; derived from the time until the cutoff.
    pub max_expected: Duration,
    /// Maximum number of shards to skip.
    pub max_skips: usize,
}

impl SkipRule {
    /// Returns the indexes of the shards to skip, given the expected time of each shard's answer.
    pub fn choose(&self, expected: &[Duration]) -> Vec<usize> {
        let mut late: Vec<usize> = (0..expected.len())
            .filter(|&index| expected[index] > self.max_expected)
            .collect();
        late.sort_by_key(|&index| std::cmp::Reverse(expected[index]));
        late.truncate(self.max_skips);
        late
    }
}
