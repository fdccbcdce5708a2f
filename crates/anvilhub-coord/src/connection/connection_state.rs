use derive_more::Display;

use crate::time::ClockTime;

/// State of one open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ConnectionState {
    /// Ready for a request.
    #[display("idle")]
    Idle,
    /// Carries one request that was written at the given time.
    #[display("busy since {_0}")]
    Busy(ClockTime),
    /// May be silent, so it needs a probe before a request.
    #[display("suspect")]
    Suspect,
    /// Carries a probe that was written at the given time.
    #[display("probing since {_0}")]
    Probing(ClockTime),
}
