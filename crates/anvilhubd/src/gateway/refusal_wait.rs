use std::time::Duration;

/// Why the upstreams of a service may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefusalReason {
    /// They have reached the limits that they name.
    Limited,
    /// They have asked for a rest.
    Resting,
    /// Their failure domains are evacuated.
    Evacuated,
}

impl RefusalReason {
    /// Returns the name of the reason in the log and in the metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::Evacuated => "evacuated",
        }
    }
}

/// When enough upstreams may get a request again, and why they may not now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusalWait {
    pub(super) time: Duration,
    pub(super) reason: RefusalReason,
}
