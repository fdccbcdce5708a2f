use std::time::Duration;

/// Part of a route's timeout above which a stated time may be that of a caller that waits for the whole timeout.
const WHOLE_SHARE: f64 = 0.9;

/// Estimates how much of the aim a caller has used up before this request arrived.
///
/// Answers the load pattern of callers that open a connection for a request, or come back after a refusal: they state
/// the time they have left, so a stated time below the one that callers of the route usually state shows how long
/// they have waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerDelay {
    usual: Duration,
}

impl CallerDelay {
    /// Takes in the time left that a request states, and returns the time that its caller waited before. `timeout`
    /// is that of the route.
    pub fn waited_before(&mut self, stated: Duration, timeout: Duration) -> Duration {
        let is_whole = stated <= timeout && stated > timeout.mul_f64(WHOLE_SHARE);
        let whole = if is_whole { timeout } else { stated };
        self.usual = self.usual.max(whole);
        self.usual - stated
    }
}
