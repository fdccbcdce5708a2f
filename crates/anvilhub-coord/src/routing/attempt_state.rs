use derive_more::Display;

/// State of one attempt to run a sub-request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptState {
    /// No byte of the request has been written.
    #[display("unsent")]
    Unsent,
    /// The connection for the attempt could not be opened.
    #[display("connect_failed")]
    ConnectFailed,
    /// The upstream answered `not_run`.
    #[display("refused")]
    Refused,
    /// At least one byte was written and no answer has arrived yet.
    #[display("in_flight")]
    InFlight,
    /// No answer arrived before the timeout.
    #[display("timed_out")]
    TimedOut,
    /// The connection closed or became silent after a byte was written.
    #[display("broken")]
    Broken,
    /// The answer was malformed, oversized or belonged to another request.
    #[display("bad_answer")]
    BadAnswer,
    /// The complete answer arrived.
    #[display("answered")]
    Answered,
}

impl AttemptState {
    /// Returns whether the upstream may have started the sub-request.
    pub fn may_have_started(self) -> bool {
        match self {
            Self::Unsent | Self::ConnectFailed | Self::Refused => false,
            Self::TimedOut | Self::Broken => !crate::mutation::is_active("true_not_run"),
            Self::InFlight | Self::BadAnswer | Self::Answered => true,
        }
    }

    /// Returns whether the attempt put load on the upstream. Repeating such an attempt costs a token of the retry
    /// budget.
    pub fn reached_upstream(self) -> bool {
        !matches!(self, Self::Unsent | Self::ConnectFailed)
    }
}
