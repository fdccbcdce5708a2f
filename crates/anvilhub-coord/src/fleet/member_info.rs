use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};

use super::CpuCores;

/// What an instance announces about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of its running process, new after each start.
    pub incarnation: Incarnation,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Processor time that it may use, in cores.
    pub cores: CpuCores,
    /// Address for calls between instances.
    pub peer_address: SocketAddr,
    /// Address for relayed requests.
    pub relay_address: SocketAddr,
    /// Whether it is about to stop and accepts no new work.
    pub is_leaving: bool,
    /// Whether it reaches no upstream; never from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cut_off: bool,
}
