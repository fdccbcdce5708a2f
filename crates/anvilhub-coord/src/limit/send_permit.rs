use std::time::Duration;

/// Whether a request may be sent to an upstream under the limit that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// The upstream names no limit.
    Unlimited,
    /// The upstream names a limit, and this instance's share of it has room.
    Granted,
    /// The share of this instance has no room; a request that comes back after `wait` may find some.
    Denied {
        /// Expected time until there is room, here or at another instance.
        wait: Duration,
    },
}

impl SendPermit {
    /// Returns whether the request must not be sent.
    pub fn is_denied(&self) -> bool {
        matches!(self, Self::Denied { .. })
    }

    /// Returns the permit under both limits.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Denied { wait: first }, Self::Denied { wait: second }) => Self::Denied {
                wait: first.max(second),
            },
            (denied @ Self::Denied { .. }, _) | (_, denied @ Self::Denied { .. }) => denied,
            (Self::Unlimited, Self::Unlimited) => Self::Unlimited,
            (_, _) => Self::Granted,
        }
    }
}
