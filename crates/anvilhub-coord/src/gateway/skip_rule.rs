use std::time::Duration;

/// Chooses the shards that a gathered request leaves out from the start.
///
/// Answers the load pattern of shards whose every upstream has become so slow that its queue is longer than callers
/// wait: a part that would come after the cut only lengthens the queue for requests that need it. As many shards may be
/// left out as the answer can spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkipRule {
    /// Time until the answer is cut.
    pub time_left: Duration,
    /// Shards that may be missing.
    pub most_skips: usize,
}

impl SkipRule {
    /// Indexes of the shards to leave out, given the expected time of each shard's part.
    pub fn plan(&self, expected: &[Duration]) -> Vec<usize> {
        let mut late: Vec<usize> = (0..expected.len())
            .filter(|&index| expected[index] > self.time_left)
            .collect();
        late.sort_by_key(|&index| std::cmp::Reverse(expected[index]));
        late.truncate(self.most_skips);
        late
    }
}
