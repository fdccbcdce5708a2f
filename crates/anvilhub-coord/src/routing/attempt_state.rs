use derive_more::Display;

/// What is known about one attempt to run a sub-request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptState {
    /// No byte was written.
    #[display("unsent")]
    Unsent,
    /// The connection for the attempt never opened.
    #[display("connect_failed")]
    ConnectFailed,
    /// The upstream answered `not_run`.
    #[display("refused")]
    Refused,
    /// At least one byte was written and no answer has arrived yet.
    #[display("in_flight")]
    InFlight,
    /// No answer arrived within the time limit.
    #[display("timed_out")]
    TimedOut,
    /// The connection closed or became silent after a byte was written.
    #[display("broken")]
    Broken,
    /// The answer was malformed, oversized or belonged to another request.
    #[display("bad_answer")]
    BadAnswer,
    /// The whole answer arrived.
    #[display("answered")]
    Answered,
}

impl AttemptState {
    /// Says whether the upstream may have started the sub-request.
    pub fn may_have_started(self) -> bool {
        match self {
            Self::Unsent | Self::ConnectFailed | Self::Refused => false,
            Self::TimedOut | Self::Broken => !crate::mutation::is_active("true_not_run"),
            Self::InFlight | Self::BadAnswer | Self::Answered => true,
        }
    }

    /// Says whether the attempt placed load on the upstream, so that repeating it needs budget.
    pub fn reached_upstream(self) -> bool {
        !matches!(self, Self::Unsent | Self::ConnectFailed)
    }
}

/// What the attempts of one sub-request allow to tell the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptOutcome {
    /// An attempt was answered.
    #[display("done")]
    Done,
    /// Every attempt provably did not start, or there was none.
    #[display("not_run")]
    NotRun,
    /// An attempt may have started and no answer is known.
    #[display("unknown")]
    Unknown,
}

impl AttemptOutcome {
    /// The outcome of a request after `attempts`, all of which must be final.
    ///
    /// `NotRun` is true only while the request is also withdrawn from every queue.
    pub fn from_attempts(attempts: &[AttemptState]) -> Self {
        if attempts.contains(&AttemptState::Answered) {
            return Self::Done;
        }
        match attempts.iter().any(|state| state.may_have_started()) {
            true => Self::Unknown,
            false => Self::NotRun,
        }
    }
}
