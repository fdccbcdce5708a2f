//! Generated from `schemas/upstream.schema.json` by `generate-types`. Do not edit.

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
///Asks an upstream to stop working on a sub-request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks an upstream to stop working on a sub-request.",
///  "type": "object",
///  "required": [
///    "request_id"
///  ],
///  "properties": {
///    "request_id": {
///      "$ref": "#/definitions/RequestId"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelRequest {
    pub request_id: crate::ids::RequestId,
}
impl ::std::convert::From<&CancelRequest> for CancelRequest {
    fn from(value: &CancelRequest) -> Self {
        value.clone()
    }
}
///An upstream's health report. It lags.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An upstream's health report. It lags.",
///  "type": "object",
///  "required": [
///    "draining",
///    "ok"
///  ],
///  "properties": {
///    "draining": {
///      "type": "boolean"
///    },
///    "ok": {
///      "type": "boolean"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HealthReport {
    pub draining: bool,
    pub ok: bool,
}
impl ::std::convert::From<&HealthReport> for HealthReport {
    fn from(value: &HealthReport) -> Self {
        value.clone()
    }
}
///An upstream's load report. It lags and may mislead.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An upstream's load report. It lags and may mislead.",
///  "type": "object",
///  "required": [
///    "draining",
///    "end",
///    "held",
///    "in_flight",
///    "queued",
///    "start"
///  ],
///  "properties": {
///    "draining": {
///      "type": "boolean"
///    },
///    "end": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "held": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/SnapshotId"
///      }
///    },
///    "in_flight": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "queued": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
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
pub struct LoadReport {
    pub draining: bool,
    pub end: u64,
    pub held: ::std::vec::Vec<crate::ids::SnapshotId>,
    pub in_flight: u32,
    pub queued: u32,
    pub start: u64,
}
impl ::std::convert::From<&LoadReport> for LoadReport {
    fn from(value: &LoadReport) -> Self {
        value.clone()
    }
}
///States that the sub-request did not run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "States that the sub-request did not run.",
///  "type": "string",
///  "enum": [
///    "not_run"
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
pub enum RefusalMark {
    #[serde(rename = "not_run")]
    NotRun,
}
impl ::std::convert::From<&Self> for RefusalMark {
    fn from(value: &RefusalMark) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RefusalMark {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
        }
    }
}
impl ::std::str::FromStr for RefusalMark {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalMark {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RefusalMark {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalMark {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why an upstream did not run a sub-request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why an upstream did not run a sub-request.",
///  "type": "string",
///  "enum": [
///    "shed",
///    "draining",
///    "cold",
///    "snapshot_not_held",
///    "deadline"
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
pub enum RefusalReason {
    #[serde(rename = "shed")]
    Shed,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "cold")]
    Cold,
    #[serde(rename = "snapshot_not_held")]
    SnapshotNotHeld,
    #[serde(rename = "deadline")]
    Deadline,
}
impl ::std::convert::From<&Self> for RefusalReason {
    fn from(value: &RefusalReason) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Shed => f.write_str("shed"),
            Self::Draining => f.write_str("draining"),
            Self::Cold => f.write_str("cold"),
            Self::SnapshotNotHeld => f.write_str("snapshot_not_held"),
            Self::Deadline => f.write_str("deadline"),
        }
    }
}
impl ::std::str::FromStr for RefusalReason {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "shed" => Ok(Self::Shed),
            "draining" => Ok(Self::Draining),
            "cold" => Ok(Self::Cold),
            "snapshot_not_held" => Ok(Self::SnapshotNotHeld),
            "deadline" => Ok(Self::Deadline),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An upstream's answer with status 200.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An upstream's answer with status 200.",
///  "type": "object",
///  "required": [
///    "end",
///    "request_id",
///    "rows",
///    "snapshot",
///    "start"
///  ],
///  "properties": {
///    "draining": {
///      "default": false,
///      "type": "boolean"
///    },
///    "end": {
///      "description": "First key after the searched range.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "held": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/SnapshotId"
///      }
///    },
///    "in_flight": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
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
///    "start": {
///      "description": "First key that was searched.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SubAnswer {
    #[serde(default)]
    pub draining: bool,
    ///First key after the searched range.
    pub end: u64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<crate::ids::SnapshotId>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub in_flight: ::std::option::Option<u32>,
    pub request_id: crate::ids::RequestId,
    pub rows: ::std::vec::Vec<crate::border::query::RowEntry>,
    pub snapshot: crate::ids::SnapshotId,
    ///First key that was searched.
    pub start: u64,
}
impl ::std::convert::From<&SubAnswer> for SubAnswer {
    fn from(value: &SubAnswer) -> Self {
        value.clone()
    }
}
///An upstream's answer with status 503: the sub-request did not run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An upstream's answer with status 503: the sub-request did not run.",
///  "type": "object",
///  "required": [
///    "outcome",
///    "reason",
///    "request_id"
///  ],
///  "properties": {
///    "draining": {
///      "default": false,
///      "type": "boolean"
///    },
///    "held": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/SnapshotId"
///      }
///    },
///    "outcome": {
///      "$ref": "#/definitions/RefusalMark"
///    },
///    "reason": {
///      "$ref": "#/definitions/RefusalReason"
///    },
///    "request_id": {
///      "$ref": "#/definitions/RequestId"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SubRefusal {
    #[serde(default)]
    pub draining: bool,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<crate::ids::SnapshotId>,
    pub outcome: RefusalMark,
    pub reason: RefusalReason,
    pub request_id: crate::ids::RequestId,
}
impl ::std::convert::From<&SubRefusal> for SubRefusal {
    fn from(value: &SubRefusal) -> Self {
        value.clone()
    }
}
///A request of an entry instance to one upstream.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "SubRequest",
///  "description": "A request of an entry instance to one upstream.",
///  "type": "object",
///  "required": [
///    "deadline_ms",
///    "end",
///    "idempotent",
///    "query",
///    "request_id",
///    "service",
///    "start"
///  ],
///  "properties": {
///    "deadline_ms": {
///      "description": "Remaining time, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "end": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "idempotent": {
///      "type": "boolean"
///    },
///    "key": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "query": {
///      "type": "string"
///    },
///    "request_id": {
///      "$ref": "#/definitions/RequestId"
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceName"
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
pub struct SubRequest {
    ///Remaining time, in milliseconds.
    pub deadline_ms: u64,
    pub end: u64,
    pub idempotent: bool,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub key: ::std::option::Option<u64>,
    pub query: ::std::string::String,
    pub request_id: crate::ids::RequestId,
    pub service: crate::ids::ServiceName,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub snapshot: ::std::option::Option<crate::ids::SnapshotId>,
    pub start: u64,
}
impl ::std::convert::From<&SubRequest> for SubRequest {
    fn from(value: &SubRequest) -> Self {
        value.clone()
    }
}
