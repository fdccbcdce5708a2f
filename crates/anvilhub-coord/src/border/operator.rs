//! Generated from `schemas/operator.schema.json` by `generate-types`. Do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///How a request would be routed now.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "How a request would be routed now.",
///  "type": "object",
///  "required": [
///    "end",
///    "service",
///    "shards",
///    "start"
///  ],
///  "properties": {
///    "end": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceName"
///    },
///    "shards": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ExplainShard"
///      }
///    },
///    "snapshot": {
///      "$ref": "#/definitions/SnapshotId"
///    },
///    "start": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ExplainReport {
    pub end: u64,
    pub service: crate::ids::ServiceName,
    pub shards: ::std::vec::Vec<ExplainShard>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub snapshot: ::std::option::Option<crate::ids::SnapshotId>,
    pub start: u64,
}
impl ::std::convert::From<&ExplainReport> for ExplainReport {
    fn from(value: &ExplainReport) -> Self {
        value.clone()
    }
}
///The choice for one shard.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The choice for one shard.",
///  "type": "object",
///  "required": [
///    "end",
///    "owner",
///    "reason",
///    "replicas",
///    "shard",
///    "start"
///  ],
///  "properties": {
///    "chosen": {
///      "$ref": "#/definitions/UpstreamId"
///    },
///    "end": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "owner": {
///      "description": "Instance that queues for the shard's slots.",
///      "type": "string"
///    },
///    "reason": {
///      "type": "string"
///    },
///    "replicas": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/UpstreamState"
///      }
///    },
///    "shard": {
///      "$ref": "#/definitions/ShardName"
///    },
///    "start": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ExplainShard {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub chosen: ::std::option::Option<crate::ids::UpstreamId>,
    pub end: u64,
    ///Instance that queues for the shard's slots.
    pub owner: ::std::string::String,
    pub reason: ::std::string::String,
    pub replicas: ::std::vec::Vec<UpstreamState>,
    pub shard: crate::ids::ShardName,
    pub start: u64,
}
impl ::std::convert::From<&ExplainShard> for ExplainShard {
    fn from(value: &ExplainShard) -> Self {
        value.clone()
    }
}
///What the instance knows of another one.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What the instance knows of another one.",
///  "type": "object",
///  "required": [
///    "instance",
///    "state"
///  ],
///  "properties": {
///    "address": {
///      "type": "string"
///    },
///    "instance": {
///      "$ref": "#/definitions/InstanceId"
///    },
///    "sheet": {
///      "$ref": "#/definitions/SheetState"
///    },
///    "state": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerState {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub address: ::std::option::Option<::std::string::String>,
    pub instance: crate::ids::InstanceId,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sheet: ::std::option::Option<SheetState>,
    pub state: ::std::string::String,
}
impl ::std::convert::From<&PeerState> for PeerState {
    fn from(value: &PeerState) -> Self {
        value.clone()
    }
}
///The sheet in force.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The sheet in force.",
///  "type": "object",
///  "required": [
///    "digest",
///    "version"
///  ],
///  "properties": {
///    "digest": {
///      "type": "string"
///    },
///    "version": {
///      "$ref": "#/definitions/SheetVersion"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SheetState {
    pub digest: ::std::string::String,
    pub version: crate::ids::SheetVersion,
}
impl ::std::convert::From<&SheetState> for SheetState {
    fn from(value: &SheetState) -> Self {
        value.clone()
    }
}
///State of an entry instance, for operators.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "StateReport",
///  "description": "State of an entry instance, for operators.",
///  "type": "object",
///  "required": [
///    "alarms",
///    "failure_domain",
///    "instance",
///    "peers",
///    "requests_in_flight",
///    "stage",
///    "tickets",
///    "upstreams"
///  ],
///  "properties": {
///    "alarms": {
///      "description": "What an operator should look at; see docs/OPERATIONS.md.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "failure_domain": {
///      "$ref": "#/definitions/FailureDomain"
///    },
///    "instance": {
///      "$ref": "#/definitions/InstanceId"
///    },
///    "peers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/PeerState"
///      }
///    },
///    "requests_in_flight": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "sheet": {
///      "$ref": "#/definitions/SheetState"
///    },
///    "stage": {
///      "description": "learning, ready, draining or stopped.",
///      "type": "string"
///    },
///    "tickets": {
///      "description": "Unexpired or running tickets that the instance owns.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "upstreams": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/UpstreamState"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StateReport {
    ///What an operator should look at; see docs/OPERATIONS.md.
    pub alarms: ::std::vec::Vec<::std::string::String>,
    pub failure_domain: crate::ids::FailureDomain,
    pub instance: crate::ids::InstanceId,
    pub peers: ::std::vec::Vec<PeerState>,
    pub requests_in_flight: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sheet: ::std::option::Option<SheetState>,
    ///learning, ready, draining or stopped.
    pub stage: ::std::string::String,
    ///Unexpired or running tickets that the instance owns.
    pub tickets: u64,
    pub upstreams: ::std::vec::Vec<UpstreamState>,
}
impl ::std::convert::From<&StateReport> for StateReport {
    fn from(value: &StateReport) -> Self {
        value.clone()
    }
}
///An upstream, and why the instance uses it or not.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An upstream, and why the instance uses it or not.",
///  "type": "object",
///  "required": [
///    "id",
///    "in_flight",
///    "service",
///    "shard",
///    "status"
///  ],
///  "properties": {
///    "held": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/SnapshotId"
///      }
///    },
///    "id": {
///      "$ref": "#/definitions/UpstreamId"
///    },
///    "in_flight": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "latency_us": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceName"
///    },
///    "shard": {
///      "$ref": "#/definitions/ShardName"
///    },
///    "status": {
///      "description": "used, leaving, ejected, or owned by another instance, with the reason.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct UpstreamState {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<crate::ids::SnapshotId>,
    pub id: crate::ids::UpstreamId,
    pub in_flight: u32,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub latency_us: ::std::option::Option<u64>,
    pub service: crate::ids::ServiceName,
    pub shard: crate::ids::ShardName,
    ///used, leaving, ejected, or owned by another instance, with the reason.
    pub status: ::std::string::String,
}
impl ::std::convert::From<&UpstreamState> for UpstreamState {
    fn from(value: &UpstreamState) -> Self {
        value.clone()
    }
}
