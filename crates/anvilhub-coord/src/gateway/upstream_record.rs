use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, Incarnation, ServiceName, SlotCount, UpstreamId};
use crate::limit::UpstreamProcess;

/// What an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identifier. A restarted upstream may keep it.
    pub id: UpstreamId,
    /// Distinguishes processes with the same id; a later process has a higher value.
    pub incarnation: Incarnation,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// Whether it announced that it is leaving.
    pub is_draining: bool,
    /// Remaining time of the warm-up, during which it is slow.
    pub warmup_left: Duration,
    /// Number of the report in which it announced this; a later report of the same process has a higher one.
    pub report_number: u64,
}

impl UpstreamRecord {
    /// Returns which process the record describes.
    pub fn process(&self) -> UpstreamProcess {
        UpstreamProcess {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns whether `other` describes the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        (&self.id, self.incarnation, self.address, &self.service)
            == (&other.id, other.incarnation, other.address, &other.service)
    }
}
