//! Generated from `schemas/sheet.schema.json` by `generate-types`. Do not edit.

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
///Whether requests of a service may be run more than once.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Whether requests of a service may be run more than once.",
///  "type": "string",
///  "enum": [
///    "idempotent",
///    "non_idempotent"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum RepeatPolicy {
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}
impl ::std::convert::From<&Self> for RepeatPolicy {
    fn from(value: &RepeatPolicy) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RepeatPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Idempotent => f.write_str("idempotent"),
            Self::NonIdempotent => f.write_str("non_idempotent"),
        }
    }
}
impl ::std::str::FromStr for RepeatPolicy {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "idempotent" => Ok(Self::Idempotent),
            "non_idempotent" => Ok(Self::NonIdempotent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RepeatPolicy {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RepeatPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RepeatPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One upstream.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One upstream.",
///  "type": "object",
///  "required": [
///    "address",
///    "connections",
///    "failure_domain",
///    "id",
///    "slots"
///  ],
///  "properties": {
///    "address": {
///      "description": "IP address and port.",
///      "type": "string"
///    },
///    "connections": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "failure_domain": {
///      "$ref": "#/definitions/FailureDomain"
///    },
///    "id": {
///      "$ref": "#/definitions/UpstreamId"
///    },
///    "slots": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaEntry {
    ///IP address and port.
    pub address: ::std::string::String,
    pub connections: u32,
    pub failure_domain: crate::ids::FailureDomain,
    pub id: crate::ids::UpstreamId,
    pub slots: u32,
}
impl ::std::convert::From<&ReplicaEntry> for ReplicaEntry {
    fn from(value: &ReplicaEntry) -> Self {
        value.clone()
    }
}
///Routing policy of a service. Absent fields take the defaults.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Routing policy of a service. Absent fields take the defaults.",
///  "type": "object",
///  "properties": {
///    "default_deadline_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "extra_load_percent": {
///      "description": "Hedges and retries per hundred needed sub-requests.",
///      "type": "number"
///    },
///    "hedge_percentile": {
///      "description": "Latency percentile after which a hedge is sent.",
///      "type": "number"
///    },
///    "mode": {
///      "$ref": "#/definitions/RouteMode"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub default_deadline_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub extra_load_percent: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub hedge_percentile: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub mode: ::std::option::Option<RouteMode>,
}
impl ::std::convert::From<&RouteEntry> for RouteEntry {
    fn from(value: &RouteEntry) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RouteEntry {
    fn default() -> Self {
        Self {
            default_deadline_ms: Default::default(),
            extra_load_percent: Default::default(),
            hedge_percentile: Default::default(),
            mode: Default::default(),
        }
    }
}
///Who queues for the slots of a shard: the owning instance or every instance by itself.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Who queues for the slots of a shard: the owning instance or every instance by itself.",
///  "type": "string",
///  "enum": [
///    "owner",
///    "direct"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum RouteMode {
    #[serde(rename = "owner")]
    Owner,
    #[serde(rename = "direct")]
    Direct,
}
impl ::std::convert::From<&Self> for RouteMode {
    fn from(value: &RouteMode) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RouteMode {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Owner => f.write_str("owner"),
            Self::Direct => f.write_str("direct"),
        }
    }
}
impl ::std::str::FromStr for RouteMode {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "owner" => Ok(Self::Owner),
            "direct" => Ok(Self::Direct),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RouteMode {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RouteMode {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteMode {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One search service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One search service.",
///  "type": "object",
///  "required": [
///    "callers",
///    "name",
///    "repeatability",
///    "shards",
///    "urgency"
///  ],
///  "properties": {
///    "callers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/CallerName"
///      }
///    },
///    "name": {
///      "$ref": "#/definitions/ServiceName"
///    },
///    "repeatability": {
///      "$ref": "#/definitions/RepeatPolicy"
///    },
///    "route": {
///      "$ref": "#/definitions/RouteEntry"
///    },
///    "shards": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ShardEntry"
///      }
///    },
///    "urgency": {
///      "$ref": "#/definitions/UrgencyClass"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    pub callers: ::std::vec::Vec<crate::ids::CallerName>,
    pub name: crate::ids::ServiceName,
    pub repeatability: RepeatPolicy,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub route: ::std::option::Option<RouteEntry>,
    pub shards: ::std::vec::Vec<ShardEntry>,
    pub urgency: UrgencyClass,
}
impl ::std::convert::From<&ServiceEntry> for ServiceEntry {
    fn from(value: &ServiceEntry) -> Self {
        value.clone()
    }
}
///A part of the key space and the replicas that serve it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A part of the key space and the replicas that serve it.",
///  "type": "object",
///  "required": [
///    "end",
///    "name",
///    "replicas",
///    "start"
///  ],
///  "properties": {
///    "end": {
///      "description": "First key after the range.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "name": {
///      "$ref": "#/definitions/ShardName"
///    },
///    "replicas": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ReplicaEntry"
///      }
///    },
///    "start": {
///      "description": "First key of the range.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    ///First key after the range.
    pub end: u64,
    pub name: crate::ids::ShardName,
    pub replicas: ::std::vec::Vec<ReplicaEntry>,
    ///First key of the range.
    pub start: u64,
}
impl ::std::convert::From<&ShardEntry> for ShardEntry {
    fn from(value: &ShardEntry) -> Self {
        value.clone()
    }
}
///The sheet that planners export and operators publish.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "SheetDocument",
///  "description": "The sheet that planners export and operators publish.",
///  "type": "object",
///  "required": [
///    "services",
///    "version"
///  ],
///  "properties": {
///    "comment": {
///      "description": "Free text for operators.",
///      "type": "string"
///    },
///    "confirm_removals": {
///      "description": "Services that may vanish or lose half or more of their upstreams in this version.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServiceName"
///      }
///    },
///    "services": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServiceEntry"
///      }
///    },
///    "version": {
///      "$ref": "#/definitions/SheetVersion"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SheetDocument {
    ///Free text for operators.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub comment: ::std::option::Option<::std::string::String>,
    ///Services that may vanish or lose half or more of their upstreams in this version.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub confirm_removals: ::std::vec::Vec<crate::ids::ServiceName>,
    pub services: ::std::vec::Vec<ServiceEntry>,
    pub version: crate::ids::SheetVersion,
}
impl ::std::convert::From<&SheetDocument> for SheetDocument {
    fn from(value: &SheetDocument) -> Self {
        value.clone()
    }
}
///How urgent a request is.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "How urgent a request is.",
///  "type": "string",
///  "enum": [
///    "urgent",
///    "standard",
///    "deferred"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum UrgencyClass {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "deferred")]
    Deferred,
}
impl ::std::convert::From<&Self> for UrgencyClass {
    fn from(value: &UrgencyClass) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for UrgencyClass {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Standard => f.write_str("standard"),
            Self::Deferred => f.write_str("deferred"),
        }
    }
}
impl ::std::str::FromStr for UrgencyClass {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "standard" => Ok(Self::Standard),
            "deferred" => Ok(Self::Deferred),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for UrgencyClass {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for UrgencyClass {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for UrgencyClass {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
