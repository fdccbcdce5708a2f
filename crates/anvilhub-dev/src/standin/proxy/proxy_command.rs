use serde::{Deserialize, Serialize};

/// Body of `POST /control`. Absent fields leave their setting unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProxyCommand {
    /// How the proxy treats connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<ProxyMode>,
    /// Delay added to the bytes in each direction, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
}

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyMode {
    /// New connections are forwarded.
    #[default]
    Pass,
    /// Existing connections permanently drop all bytes and stay open; new ones are forwarded.
    SilentExisting,
    /// Existing and new connections permanently drop all bytes and stay open.
    Silent,
    /// Existing connections are closed; new ones are forwarded.
    #[serde(rename = "cut")]
    CloseExisting,
    /// Existing connections are left unchanged; new ones are closed at once.
    Refuse,
    /// Existing and new connections are closed.
    Reset,
    /// Bytes from the client to the target are held until the mode changes.
    #[serde(rename = "hold-forth")]
    HoldToTarget,
    /// Bytes from the target to the client are held until the mode changes.
    #[serde(rename = "hold-back")]
    HoldToClient,
    /// Bytes in both directions are held until the mode changes.
    Hold,
}
