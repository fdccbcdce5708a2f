use std::sync::Arc;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use super::ServiceGate;

/// Lets one request run; dropping it lets the next one in.
pub(crate) struct AdmissionPermit {
    gate: Arc<ServiceGate>,
    urgency: UrgencyClass,
    started: ClockTime,
}

impl AdmissionPermit {
    pub(super) fn new(gate: Arc<ServiceGate>, urgency: UrgencyClass, started: ClockTime) -> Self {
        Self {
            gate,
            urgency,
            started,
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.finish(self.urgency, self.started);
    }
}
