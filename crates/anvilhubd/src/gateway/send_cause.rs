/// Why an attempt of a sub-request is made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SendCause {
    /// The first attempt of a sub-request.
    First,
    /// An earlier attempt has not been answered within the hedge delay.
    Hedge,
    /// An earlier attempt may have reached its upstream, and has failed or was refused.
    Retry,
    /// An earlier attempt could not be sent, so that it certainly did not run.
    Resend,
}
