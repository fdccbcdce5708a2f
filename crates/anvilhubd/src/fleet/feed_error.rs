use derive_more::{Display, Error};

/// Why the platform could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FeedError {
    /// The platform no longer has the changes that were asked for.
    #[display("the platform no longer has these changes; the state is read anew")]
    HistoryGone,
    /// The platform did not answer, or answered with a failure.
    #[display("{reason}")]
    Unread {
        /// What went wrong, and what happens next.
        reason: String,
    },
}
