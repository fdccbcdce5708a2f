use crate::ids::CallRate;

/// Number of groups without contact into which the instances may be split while the bound still holds: each group
/// divides the whole limit among its own members.
const MAX_GROUPS: f64 = 2.0;

/// How many requests a cold upstream may get in any second, from all instances together: the rate that it tolerates
/// times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// Factor of the tolerated rate.
    pub overage: f64,
    /// Number of requests on top.
    pub slack: f64,
}

impl WarmupBound {
    /// Returns the number of requests a second that the instances divide among themselves; one at least, since the
    /// requests of an upstream cannot be divided further.
    ///
    /// This is the tolerated rate, or less if the instances could exceed the bound when they are split into two groups
    /// that each divide that number.
    pub fn request_count(&self, cold_rate: CallRate) -> u32 {
        let bound = cold_rate.get() * self.overage + self.slack;
        let count = cold_rate.get().min(bound / MAX_GROUPS);
        // The conversion saturates.
        (count.floor() as u32).max(1)
    }
}
