use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};

/// Identity and address of an instance, as it sends them to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Identifier of the instance.
    pub instance: InstanceId,
    /// Distinguishes the running process of the instance from its earlier ones.
    pub incarnation: Incarnation,
    /// Address at which peers reach the instance.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance. The platform's instance list does not contain it.
    pub failure_domain: FailureDomain,
}
