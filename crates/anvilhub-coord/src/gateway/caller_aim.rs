use std::time::Duration;

/// Share of a caller's usual deadline below which a request is taken for the first of its kind to arrive late.
const FIRST_TRY_SHARE: f64 = 0.97;

/// Estimates how much of the aim a caller has used up before this request arrived.
///
/// Answers the load pattern of callers that come back after a refusal or a failure: they state the time they have
/// left, so a stated time below the one that callers of the route usually state shows how long they have waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerAim {
    usual: Duration,
}

impl CallerAim {
    /// Takes in the time left that a request states, and returns the time that its caller waited before.
    pub fn waited_before(&mut self, time_left: Duration) -> Duration {
        self.usual = self.usual.max(time_left);
        match time_left < self.usual.mul_f64(FIRST_TRY_SHARE) {
            true => self.usual - time_left,
            false => Duration::ZERO,
        }
    }
}
