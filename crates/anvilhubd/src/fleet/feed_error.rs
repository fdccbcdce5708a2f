use derive_more::{Display, Error};

/// Why the platform could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FeedError {
    /// The platform no longer has all changes since the requested revision.
    #[display(
        "the platform no longer has all changes since the requested revision; all values are read again"
    )]
    HistoryUnavailable,
    /// The platform did not answer in time, or its answer was not whole by then.
    #[display("{reason}")]
    TimedOut {
        /// Which call was not answered, and what happens next.
        reason: String,
    },
    /// The platform did not answer, or answered with a failure.
    #[display("{reason}")]
    ReadFailed {
        /// What went wrong, and what happens next.
        reason: String,
    },
}
