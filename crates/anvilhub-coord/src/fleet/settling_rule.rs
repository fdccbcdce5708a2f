use std::time::Duration;

/// Decides from when on an instance opens connections ahead of need to the upstreams of gathered requests.
///
/// Designed for a fleet whose instances all start at the same moment: until a small instance has heard of a larger one
/// it does not know that it will relay these requests, and hundreds of instances that each open a connection to every
/// upstream exceed the connection limits of all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettlingRule {
    /// Time after the start within which the instances of a fleet that starts together hear of each other.
    pub settling_time: Duration,
}

impl Default for SettlingRule {
    fn default() -> Self {
        Self {
            settling_time: Duration::from_secs(2),
        }
    }
}

impl SettlingRule {
    /// Returns whether the instance knows the larger ones of its fleet, if there are any. `has_seeds` is whether there
    /// are others to ask, and `has_joined` whether one that has the platform's values, and so has been running for a
    /// while, told this instance which members it knows.
    pub fn is_settled(&self, has_seeds: bool, has_joined: bool, since_start: Duration) -> bool {
        !has_seeds || has_joined || since_start >= self.settling_time
    }
}
