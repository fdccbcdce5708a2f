use anvilhub_coord::ids::{ServiceName, ShardName, UpstreamId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::ReplicaAction;

/// Body of `POST /control`: names replicas, and what to change in each.
///
/// A name that is absent selects every replica, so a command without names goes to the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetCommand {
    /// Selects one replica.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Selects the replicas of a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Selects the replicas of a shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<ShardName>,
    /// Replica settings to replace.
    pub set: Map<String, Value>,
    /// Actions, in order.
    #[serde(rename = "do")]
    pub actions: Vec<ReplicaAction>,
}
