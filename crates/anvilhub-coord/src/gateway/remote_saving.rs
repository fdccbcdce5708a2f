use std::time::Duration;

/// What an attempt would save by leaving the failure domain, as far as this instance knows; costs are in typical
/// latencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteSaving {
    /// Lowest cost of an upstream in this failure domain.
    pub local_cost: f64,
    /// Lowest cost of an upstream in another failure domain, with the cost of leaving.
    pub remote_cost: f64,
    /// Time since the last answer from another failure domain; `None` before the first one.
    pub answer_age: Option<Duration>,
}

impl RemoteSaving {
    /// Returns whether the attempt would be answered earlier by more than it costs to leave.
    pub fn pays(&self) -> bool {
        self.remote_cost < self.local_cost
    }
}
