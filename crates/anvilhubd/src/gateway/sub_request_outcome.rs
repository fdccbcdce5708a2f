use derive_more::Display;

/// How a sub-request ended, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub(super) enum SubRequestOutcome {
    /// An upstream answered.
    #[display("done")]
    Done,
    /// No upstream of the service could be chosen.
    #[display("no_upstream")]
    NoUpstream,
    /// The sub-request was not sent because its answer was expected too late.
    #[display("skipped")]
    Skipped,
    /// No answer had arrived when the request ended.
    #[display("waiting")]
    Waiting,
    /// The last attempt that ended had no usable answer, for this reason.
    #[display("{_0}")]
    Ended(String),
}
