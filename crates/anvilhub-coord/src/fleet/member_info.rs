use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};

use super::CoreShare;

/// What an instance tells the others of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The instance.
    pub instance: InstanceId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// How much it can do.
    pub cores: CoreShare,
    /// Where other instances call it.
    pub peer_address: SocketAddr,
    /// Where other instances pass requests on to it.
    pub relay_address: SocketAddr,
    /// Whether it takes no new work and ends soon.
    pub is_leaving: bool,
}
