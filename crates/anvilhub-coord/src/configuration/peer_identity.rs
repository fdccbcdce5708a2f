use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};

/// What an instance tells its peers about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Identifier of the instance.
    pub instance: InstanceId,
    /// Tells this run of the instance from earlier ones.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Failure domain that it runs in. The platform's list does not tell it.
    pub failure_domain: FailureDomain,
}
