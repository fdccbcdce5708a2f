/// Limits of one gathered answer, which bound its memory whatever upstreams send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatherLimits {
    /// Maximum number of rows of the whole answer.
    pub max_rows: usize,
    /// Maximum total size of the values of the whole answer, in bytes.
    pub max_bytes: usize,
}

impl Default for GatherLimits {
    /// Limits of 100,000 rows and 16 MiB, more than a person or a page can use.
    fn default() -> Self {
        Self {
            max_rows: 100_000,
            max_bytes: 16 << 20,
        }
    }
}
