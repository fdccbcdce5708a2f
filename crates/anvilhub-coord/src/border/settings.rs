//! Generated from `schemas/settings.schema.json` by `generate-types`. Do not edit.

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
///Settings file of an entry instance. Absent fields take the defaults of `docs/settings.md`.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "SettingsDocument",
///  "description": "Settings file of an entry instance. Absent fields take the defaults of `docs/settings.md`.",
///  "type": "object",
///  "properties": {
///    "body_timeout_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "caller_address": {
///      "description": "IP address and port for callers.",
///      "type": "string"
///    },
///    "connect_timeout_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "drain_grace_ms": {
///      "description": "How long the balancer may continue to send requests after readiness is withdrawn.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "failure_domain": {
///      "type": "string"
///    },
///    "gossip_interval_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "idle_timeout_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "instance": {
///      "description": "Identifier of the instance, as the platform lists it.",
///      "type": "string"
///    },
///    "isolated_start_after_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "log_level": {
///      "type": "string"
///    },
///    "max_answer_bytes": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "max_body_bytes": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "max_caller_connections": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "max_deadline_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "operator_address": {
///      "description": "IP address and port for operators.",
///      "type": "string"
///    },
///    "pause_limit_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "peer_address": {
///      "description": "IP address and port for other instances.",
///      "type": "string"
///    },
///    "peer_bind_address": {
///      "description": "IP address and port to listen on for other instances, when it is not `peer_address`.",
///      "type": "string"
///    },
///    "peer_timeout_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "peers": {
///      "description": "Peer address of each instance to ask besides the listed ones.",
///      "type": "object",
///      "additionalProperties": {
///        "type": "string"
///      }
///    },
///    "platform_address": {
///      "description": "IP address and port of the platform.",
///      "type": "string"
///    },
///    "ticket_lifetime_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "ticket_retention_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "worker_threads": {
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
pub struct SettingsDocument {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub body_timeout_ms: ::std::option::Option<u64>,
    ///IP address and port for callers.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_address: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub connect_timeout_ms: ::std::option::Option<u64>,
    ///How long the balancer may continue to send requests after readiness is withdrawn.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub drain_grace_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub failure_domain: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub gossip_interval_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub idle_timeout_ms: ::std::option::Option<u64>,
    ///Identifier of the instance, as the platform lists it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub instance: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub isolated_start_after_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub log_level: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_answer_bytes: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_body_bytes: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_caller_connections: ::std::option::Option<u32>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_deadline_ms: ::std::option::Option<u64>,
    ///IP address and port for operators.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub operator_address: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub pause_limit_ms: ::std::option::Option<u64>,
    ///IP address and port for other instances.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub peer_address: ::std::option::Option<::std::string::String>,
    ///IP address and port to listen on for other instances, when it is not `peer_address`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub peer_bind_address: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub peer_timeout_ms: ::std::option::Option<u64>,
    ///Peer address of each instance to ask besides the listed ones.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub peers: ::std::collections::HashMap<::std::string::String, ::std::string::String>,
    ///IP address and port of the platform.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub platform_address: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ticket_lifetime_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ticket_retention_ms: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub worker_threads: ::std::option::Option<u32>,
}
impl ::std::convert::From<&SettingsDocument> for SettingsDocument {
    fn from(value: &SettingsDocument) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for SettingsDocument {
    fn default() -> Self {
        Self {
            body_timeout_ms: Default::default(),
            caller_address: Default::default(),
            connect_timeout_ms: Default::default(),
            drain_grace_ms: Default::default(),
            failure_domain: Default::default(),
            gossip_interval_ms: Default::default(),
            idle_timeout_ms: Default::default(),
            instance: Default::default(),
            isolated_start_after_ms: Default::default(),
            log_level: Default::default(),
            max_answer_bytes: Default::default(),
            max_body_bytes: Default::default(),
            max_caller_connections: Default::default(),
            max_deadline_ms: Default::default(),
            operator_address: Default::default(),
            pause_limit_ms: Default::default(),
            peer_address: Default::default(),
            peer_bind_address: Default::default(),
            peer_timeout_ms: Default::default(),
            peers: Default::default(),
            platform_address: Default::default(),
            ticket_lifetime_ms: Default::default(),
            ticket_retention_ms: Default::default(),
            worker_threads: Default::default(),
        }
    }
}
