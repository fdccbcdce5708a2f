use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, Incarnation, ServiceName, SlotCount, UpstreamId};

/// An upstream as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identifier. A restarted upstream may keep it.
    pub id: UpstreamId,
    /// Tells two processes under the same id apart; a later one has a higher value.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Whether it announced that it leaves.
    pub is_draining: bool,
    /// How much longer it works slowly after its start.
    pub warmup_left: Duration,
}

impl UpstreamRecord {
    /// Says whether `other` describes the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        (&self.id, self.incarnation, self.address, &self.service)
            == (&other.id, other.incarnation, other.address, &other.service)
    }
}
