use std::time::Duration;

use anvilhub_coord::fleet::FeedOutcome;

/// What a reader's answer changes at its follower.
pub(super) struct ReaderUpdate {
    /// What the update in the answer changes; `None` if it held none.
    pub(super) outcome: Option<FeedOutcome>,
    /// Time since the platform was last found unreachable; `None` if it never was.
    pub(super) outage_age: Option<Duration>,
}
