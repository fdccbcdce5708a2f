/// Why an attempt is made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SendCause {
    /// The first attempt of a sub-request.
    First,
    /// An earlier attempt is late.
    Hedge,
    /// An earlier attempt may have reached its upstream and failed.
    Retry,
    /// An earlier attempt could not be sent.
    Resend,
}
