//! Generated from `schemas/query.schema.json` by `generate-types`. Do not edit.

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
///How much of the asked key range the answer covers.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "How much of the asked key range the answer covers.",
///  "type": "object",
///  "required": [
///    "complete",
///    "fraction",
///    "missing"
///  ],
///  "properties": {
///    "complete": {
///      "type": "boolean"
///    },
///    "fraction": {
///      "type": "number"
///    },
///    "missing": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/MissingEntry"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CoverageEntry {
    pub complete: bool,
    pub fraction: f64,
    pub missing: ::std::vec::Vec<MissingEntry>,
}
impl ::std::convert::From<&CoverageEntry> for CoverageEntry {
    fn from(value: &CoverageEntry) -> Self {
        value.clone()
    }
}
///Why a request was refused or failed, and what to do.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why a request was refused or failed, and what to do.",
///  "type": "object",
///  "required": [
///    "code",
///    "message",
///    "remedy"
///  ],
///  "properties": {
///    "code": {
///      "type": "string"
///    },
///    "message": {
///      "type": "string"
///    },
///    "remedy": {
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorEntry {
    pub code: ::std::string::String,
    pub message: ::std::string::String,
    pub remedy: ::std::string::String,
}
impl ::std::convert::From<&ErrorEntry> for ErrorEntry {
    fn from(value: &ErrorEntry) -> Self {
        value.clone()
    }
}
///A part of the key space that the answer does not cover.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A part of the key space that the answer does not cover.",
///  "type": "object",
///  "required": [
///    "end",
///    "reason",
///    "start"
///  ],
///  "properties": {
///    "end": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "reason": {
///      "$ref": "#/definitions/MissingReason"
///    },
///    "start": {
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
pub struct MissingEntry {
    pub end: u64,
    pub reason: MissingReason,
    pub start: u64,
}
impl ::std::convert::From<&MissingEntry> for MissingEntry {
    fn from(value: &MissingEntry) -> Self {
        value.clone()
    }
}
///Why a part of the key space is not covered.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why a part of the key space is not covered.",
///  "type": "string",
///  "enum": [
///    "timeout",
///    "snapshot_unavailable",
///    "repartitioned",
///    "no_replica",
///    "shed",
///    "bad_answer"
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
pub enum MissingReason {
    #[serde(rename = "timeout")]
    Timeout,
    #[serde(rename = "snapshot_unavailable")]
    SnapshotUnavailable,
    #[serde(rename = "repartitioned")]
    Repartitioned,
    #[serde(rename = "no_replica")]
    NoReplica,
    #[serde(rename = "shed")]
    Shed,
    #[serde(rename = "bad_answer")]
    BadAnswer,
}
impl ::std::convert::From<&Self> for MissingReason {
    fn from(value: &MissingReason) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for MissingReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Timeout => f.write_str("timeout"),
            Self::SnapshotUnavailable => f.write_str("snapshot_unavailable"),
            Self::Repartitioned => f.write_str("repartitioned"),
            Self::NoReplica => f.write_str("no_replica"),
            Self::Shed => f.write_str("shed"),
            Self::BadAnswer => f.write_str("bad_answer"),
        }
    }
}
impl ::std::str::FromStr for MissingReason {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "timeout" => Ok(Self::Timeout),
            "snapshot_unavailable" => Ok(Self::SnapshotUnavailable),
            "repartitioned" => Ok(Self::Repartitioned),
            "no_replica" => Ok(Self::NoReplica),
            "shed" => Ok(Self::Shed),
            "bad_answer" => Ok(Self::BadAnswer),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MissingReason {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for MissingReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MissingReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An entry instance's answer to a caller.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An entry instance's answer to a caller.",
///  "type": "object",
///  "required": [
///    "outcome",
///    "request_id"
///  ],
///  "properties": {
///    "coverage": {
///      "$ref": "#/definitions/CoverageEntry"
///    },
///    "error": {
///      "$ref": "#/definitions/ErrorEntry"
///    },
///    "outcome": {
///      "$ref": "#/definitions/QueryOutcome"
///    },
///    "request_id": {
///      "$ref": "#/definitions/RequestId"
///    },
///    "rows": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/RowEntry"
///      }
///    },
///    "snapshot": {
///      "$ref": "#/definitions/SnapshotId"
///    },
///    "ticket": {
///      "$ref": "#/definitions/TicketEntry"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QueryAnswer {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub coverage: ::std::option::Option<CoverageEntry>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub error: ::std::option::Option<ErrorEntry>,
    pub outcome: QueryOutcome,
    pub request_id: crate::ids::RequestId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub rows: ::std::vec::Vec<RowEntry>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub snapshot: ::std::option::Option<crate::ids::SnapshotId>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ticket: ::std::option::Option<TicketEntry>,
}
impl ::std::convert::From<&QueryAnswer> for QueryAnswer {
    fn from(value: &QueryAnswer) -> Self {
        value.clone()
    }
}
///What is known of a request's effect.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What is known of a request's effect.",
///  "type": "string",
///  "enum": [
///    "done",
///    "not_run",
///    "unknown"
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
pub enum QueryOutcome {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::convert::From<&Self> for QueryOutcome {
    fn from(value: &QueryOutcome) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for QueryOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Done => f.write_str("done"),
            Self::NotRun => f.write_str("not_run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for QueryOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "done" => Ok(Self::Done),
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for QueryOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for QueryOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for QueryOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A caller's request to an entry instance.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "QueryRequest",
///  "description": "A caller's request to an entry instance.",
///  "type": "object",
///  "required": [
///    "caller",
///    "deadline_ms",
///    "idempotent",
///    "request_id",
///    "service"
///  ],
///  "properties": {
///    "caller": {
///      "$ref": "#/definitions/CallerName"
///    },
///    "deadline_ms": {
///      "description": "Remaining time, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "idempotent": {
///      "type": "boolean"
///    },
///    "key": {
///      "description": "The single key that the request touches.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "query": {
///      "description": "Passed to the upstreams unchanged.",
///      "default": "",
///      "type": "string"
///    },
///    "request_id": {
///      "$ref": "#/definitions/RequestId"
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceName"
///    },
///    "ticket": {
///      "$ref": "#/definitions/TicketEntry"
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
pub struct QueryRequest {
    pub caller: crate::ids::CallerName,
    ///Remaining time, in milliseconds.
    pub deadline_ms: u64,
    pub idempotent: bool,
    ///The single key that the request touches.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub key: ::std::option::Option<u64>,
    ///Passed to the upstreams unchanged.
    #[serde(default)]
    pub query: ::std::string::String,
    pub request_id: crate::ids::RequestId,
    pub service: crate::ids::ServiceName,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ticket: ::std::option::Option<TicketEntry>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub urgency: ::std::option::Option<crate::border::sheet::UrgencyClass>,
}
impl ::std::convert::From<&QueryRequest> for QueryRequest {
    fn from(value: &QueryRequest) -> Self {
        value.clone()
    }
}
///One result row.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One result row.",
///  "type": "object",
///  "required": [
///    "key",
///    "value"
///  ],
///  "properties": {
///    "key": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "value": {
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RowEntry {
    pub key: u64,
    pub value: ::std::string::String,
}
impl ::std::convert::From<&RowEntry> for RowEntry {
    fn from(value: &RowEntry) -> Self {
        value.clone()
    }
}
///Names the only instance that may run a non-idempotent request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Names the only instance that may run a non-idempotent request.",
///  "type": "object",
///  "required": [
///    "address",
///    "caller",
///    "expires_in_ms",
///    "incarnation",
///    "nonce",
///    "number",
///    "owner",
///    "service"
///  ],
///  "properties": {
///    "address": {
///      "description": "Peer address of the owner.",
///      "type": "string"
///    },
///    "caller": {
///      "$ref": "#/definitions/CallerName"
///    },
///    "expires_in_ms": {
///      "description": "Lifetime at issue, in milliseconds of the owner's clock.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "incarnation": {
///      "$ref": "#/definitions/Incarnation"
///    },
///    "nonce": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "number": {
///      "$ref": "#/definitions/TicketNumber"
///    },
///    "owner": {
///      "$ref": "#/definitions/InstanceId"
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceName"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TicketEntry {
    ///Peer address of the owner.
    pub address: ::std::string::String,
    pub caller: crate::ids::CallerName,
    ///Lifetime at issue, in milliseconds of the owner's clock.
    pub expires_in_ms: u64,
    pub incarnation: crate::ids::Incarnation,
    pub nonce: u64,
    pub number: crate::ids::TicketNumber,
    pub owner: crate::ids::InstanceId,
    pub service: crate::ids::ServiceName,
}
impl ::std::convert::From<&TicketEntry> for TicketEntry {
    fn from(value: &TicketEntry) -> Self {
        value.clone()
    }
}
