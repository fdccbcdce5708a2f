use std::time::Duration;

/// Computes when the instance that gathers an answer must send it for the answer to reach the caller within its
/// latency target.
///
/// Designed for load with many gathered answers that wait until the last moment for a paused shard: each delay on the
/// return path that is left out of the computation makes all of these answers late by a millisecond or two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerDeadline {
    /// Time in which the caller wants its answer.
    pub latency_target: Duration,
    /// Time to reserve for the network between the caller and the entry instance, both ways, and for handling the
    /// request.
    pub caller_latency: Duration,
    /// Expected lateness of this instance's timers.
    pub timer_lag: Duration,
    /// Time that the caller had waited before its request arrived.
    pub waited_before: Duration,
    /// Time that the answer takes from a relay to the entry instance, about as long as the request took; zero if the
    /// entry instance gathers the answer itself.
    pub return_latency: Duration,
}

impl AnswerDeadline {
    /// Returns the time after arrival at the entry instance at which the answer must be sent; zero if the target is
    /// already missed.
    pub fn cutoff(&self) -> Duration {
        let used = self.caller_latency + self.timer_lag + self.waited_before + self.return_latency;
        self.latency_target.saturating_sub(used)
    }
}
