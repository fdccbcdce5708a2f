use std::time::Duration;

/// Chooses the shards that a gathered request skips from the start.
///
/// Designed for shards whose upstreams have all become so slow that their queues are longer than callers wait: a
/// sub-request that would be answered after the cutoff only lengthens the queue for requests that need it. Skips only
/// as many shards as the answer can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkipRule {
    /// Maximum expected time of a sub-request that is sent; derived from the time until the cutoff.
    pub max_expected_time: Duration,
    /// Maximum number of shards to skip.
    pub max_skips: usize,
}

impl SkipRule {
    /// Returns the indexes of the shards to skip, the slowest first. `expected_times` holds the expected time until
    /// each shard's answer.
    pub fn choose(&self, expected_times: &[Duration]) -> Vec<usize> {
        let mut late: Vec<usize> = (0..expected_times.len())
            .filter(|&index| expected_times[index] > self.max_expected_time)
            .collect();
        late.sort_by_key(|&index| std::cmp::Reverse(expected_times[index]));
        late.truncate(self.max_skips);
        late
    }
}
