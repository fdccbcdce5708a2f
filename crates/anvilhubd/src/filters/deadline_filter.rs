use std::time::Duration;

use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Sets the deadline from the time left that the request states, at most `max_deadline`, and refuses requests without
/// time left.
pub(crate) struct DeadlineFilter {
    pub(crate) max_deadline: Duration,
}

impl RequestFilter for DeadlineFilter {
    fn apply(&self, request: &mut EntryRequest) -> Result<()> {
        let deadline_ms = request.query.deadline_ms;
        if deadline_ms == 0 {
            return Err(RequestError::DeadlineExpired { deadline_ms });
        }
        let time_left = Duration::from_millis(deadline_ms).min(self.max_deadline);
        request.deadline = request.arrived_at + time_left;
        Ok(())
    }
}
