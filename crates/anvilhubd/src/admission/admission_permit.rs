use std::sync::Arc;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use super::ServiceGate;

/// Permission for one request to run. Dropping it admits the next waiting request.
pub(crate) struct AdmissionPermit {
    gate: Arc<ServiceGate>,
    urgency: UrgencyClass,
    started_at: ClockTime,
}

impl AdmissionPermit {
    pub(super) fn new(
        gate: Arc<ServiceGate>,
        urgency: UrgencyClass,
        started_at: ClockTime,
    ) -> Self {
        Self {
            gate,
            urgency,
            started_at,
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.record_end(self.urgency, self.started_at);
    }
}
