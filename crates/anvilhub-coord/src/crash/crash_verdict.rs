use std::time::Duration;

/// What an instance believes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing speaks against it.
    Unsuspected,
    /// An upstream has crashed while it ran, and none has run it to its end since.
    Suspected,
    /// It crashes the upstreams that run it, and is not sent.
    Blamed {
        /// Time until the request is tried again, unless it crashes an upstream before that.
        left: Duration,
    },
}

impl CrashVerdict {
    /// Returns whether the request must not be sent.
    pub fn is_blamed(self) -> bool {
        matches!(self, Self::Blamed { .. })
    }
}
