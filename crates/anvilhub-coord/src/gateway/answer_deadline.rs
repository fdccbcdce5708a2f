use std::time::Duration;

/// How long after its arrival a request's answer may leave the instance that gathers it, to reach the caller within
/// its aim.
///
/// Answers the load pattern of many gathered answers that wait until the last moment for a paused part: each step on the
/// way back that is not allowed for makes all of these answers late, by a millisecond or two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerDeadline {
    /// The caller's aim.
    pub aim: Duration,
    /// What the way from the entry instance to the caller takes.
    pub margin: Duration,
    /// How late this instance acts.
    pub lag: Duration,
    /// What the caller had waited before its request arrived.
    pub waited_before: Duration,
    /// What the way between the entry instance and the one that gathers takes, if they are two: about as long as the
    /// request took.
    pub way_back: Duration,
}

impl AnswerDeadline {
    /// The time, counted from the arrival at the entry instance; zero when the aim is missed already.
    pub fn left(&self) -> Duration {
        let spent = self.margin + self.lag + self.waited_before + self.way_back;
        self.aim.saturating_sub(spent)
    }
}
