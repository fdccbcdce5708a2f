use derive_more::Display;

/// What became of one part of a request, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub(super) enum SubRequestOutcome {
    /// Its answer arrived.
    #[display("done")]
    Done,
    /// No upstream of the service is known.
    #[display("no_upstream")]
    NoUpstream,
    /// It would have come too late and was not sent.
    #[display("skipped")]
    Skipped,
    /// No answer had arrived when the request ended.
    #[display("waiting")]
    Waiting,
    /// The last attempt ended this way.
    #[display("{_0}")]
    Ended(String),
}
