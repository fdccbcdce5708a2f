/// Number of attempts that were sent to an upstream while it named a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// First attempts of sub-requests.
    pub first: u32,
    /// Hedges and retries.
    pub extra: u32,
}

impl SendCounts {
    /// Counts an attempt.
    pub(super) fn add(&mut self, is_extra: bool) {
        match is_extra {
            true => self.extra += 1,
            false => self.first += 1,
        }
    }
}
