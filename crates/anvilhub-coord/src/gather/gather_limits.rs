/// Bounds of one gathered answer. They keep memory bounded whatever upstreams send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatherLimits {
    /// Most rows of the whole answer.
    pub max_rows: usize,
    /// Most bytes of the values of the whole answer.
    pub max_bytes: usize,
}

impl Default for GatherLimits {
    /// An answer of 100,000 rows or 16 MiB is more than a person or a page can use.
    fn default() -> Self {
        Self {
            max_rows: 100_000,
            max_bytes: 16 << 20,
        }
    }
}
