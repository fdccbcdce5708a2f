use anvilhub_coord::ids::{ServiceName, ShardName, UpstreamId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::ReplicaAction;

/// Body of `POST /control`: selects replicas and changes each of them.
///
/// The selectors are combined with AND. A command without selectors applies to all replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetCommand {
    /// Selects the replica with this id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Selects the replicas of this service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Selects the replicas of this shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<ShardName>,
    /// New values of replica settings; the other settings keep theirs.
    pub set: Map<String, Value>,
    /// Actions to apply in this order, after the settings.
    #[serde(rename = "do")]
    pub actions: Vec<ReplicaAction>,
}
