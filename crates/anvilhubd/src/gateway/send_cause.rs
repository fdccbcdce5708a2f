/// Why an attempt is made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SendCause {
    /// The first one of a part.
    First,
    /// An earlier one is late.
    Hedge,
    /// After an attempt that may have arrived.
    Retry,
    /// After an attempt that was not sent.
    Resend,
}
