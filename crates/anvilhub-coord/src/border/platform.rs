//! Generated from `schemas/platform.schema.json` by `generate-types`. Do not edit.

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
///A value of the platform's configuration service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "ConfigValue",
///  "description": "A value of the platform's configuration service.",
///  "type": "object",
///  "required": [
///    "revision",
///    "value"
///  ],
///  "properties": {
///    "revision": {
///      "$ref": "#/definitions/PlatformRevision"
///    },
///    "value": {
///      "description": "The sheet as text.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigValue {
    pub revision: crate::ids::PlatformRevision,
    ///The sheet as text.
    pub value: ::std::string::String,
}
impl ::std::convert::From<&ConfigValue> for ConfigValue {
    fn from(value: &ConfigValue) -> Self {
        value.clone()
    }
}
///One listed instance.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One listed instance.",
///  "type": "object",
///  "required": [
///    "address",
///    "id",
///    "role",
///    "state"
///  ],
///  "properties": {
///    "address": {
///      "type": "string"
///    },
///    "id": {
///      "$ref": "#/definitions/InstanceId"
///    },
///    "operator_address": {
///      "type": "string"
///    },
///    "peer_address": {
///      "type": "string"
///    },
///    "role": {
///      "$ref": "#/definitions/InstanceRole"
///    },
///    "state": {
///      "$ref": "#/definitions/InstanceState"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceEntry {
    pub address: ::std::string::String,
    pub id: crate::ids::InstanceId,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub operator_address: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub peer_address: ::std::option::Option<::std::string::String>,
    pub role: InstanceRole,
    pub state: InstanceState,
}
impl ::std::convert::From<&InstanceEntry> for InstanceEntry {
    fn from(value: &InstanceEntry) -> Self {
        value.clone()
    }
}
///The platform's list of live and leaving instances.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The platform's list of live and leaving instances.",
///  "type": "object",
///  "required": [
///    "instances",
///    "revision"
///  ],
///  "properties": {
///    "instances": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/InstanceEntry"
///      }
///    },
///    "revision": {
///      "$ref": "#/definitions/PlatformRevision"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceList {
    pub instances: ::std::vec::Vec<InstanceEntry>,
    pub revision: crate::ids::PlatformRevision,
}
impl ::std::convert::From<&InstanceList> for InstanceList {
    fn from(value: &InstanceList) -> Self {
        value.clone()
    }
}
///What a listed instance does.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a listed instance does.",
///  "type": "string",
///  "enum": [
///    "entry",
///    "upstream"
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
pub enum InstanceRole {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "upstream")]
    Upstream,
}
impl ::std::convert::From<&Self> for InstanceRole {
    fn from(value: &InstanceRole) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for InstanceRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Upstream => f.write_str("upstream"),
        }
    }
}
impl ::std::str::FromStr for InstanceRole {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "upstream" => Ok(Self::Upstream),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceRole {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for InstanceRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of a listed instance. It lags.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "State of a listed instance. It lags.",
///  "type": "string",
///  "enum": [
///    "live",
///    "leaving"
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
pub enum InstanceState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for InstanceState {
    fn from(value: &InstanceState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for InstanceState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for InstanceState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
