use std::time::Duration;

use anvilhub_coord::fleet::FeedOutcome;

/// What a reader's answer changes at its follower.
pub(super) struct ReaderUpdate {
    /// Whether the reader's values were current.
    pub(super) is_current: bool,
    /// What the update in the answer changes; `None` if it held none.
    pub(super) outcome: Option<FeedOutcome>,
    /// Time since the platform was last found unreachable; `None` if it never was.
    pub(super) outage_age: Option<Duration>,
}
