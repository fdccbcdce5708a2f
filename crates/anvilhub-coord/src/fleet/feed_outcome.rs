use super::FeedUpdate;

/// What an update of the platform's values has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedOutcome {
    /// The update was applied.
    Applied {
        /// The changes that were not known before.
        changes: FeedUpdate,
        /// Whether the platform was restored from a copy since the values that were known before.
        is_restored: bool,
    },
    /// The update is older than what is known.
    Outdated,
    /// The update holds changes of an era of which not all values are known.
    NeedsFullRead,
}
