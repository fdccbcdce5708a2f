use serde::{Deserialize, Serialize};

/// Body of `POST /control`: every field that is present takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayCommand {
    /// What happens to connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<RelayMode>,
    /// Delay of the bytes in each direction, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayMode {
    /// New connections pass their bytes.
    #[default]
    Pass,
    /// Existing connections lose their bytes for good and stay open; new ones pass them.
    SilentExisting,
    /// Existing and new connections lose their bytes for good and stay open.
    Silent,
    /// Existing connections are closed; new ones pass their bytes.
    Cut,
    /// Existing connections are left alone; new ones are closed at once.
    Refuse,
    /// Existing and new connections are closed.
    Reset,
    /// What clients send waits until the mode changes.
    HoldForth,
    /// What the target sends waits until the mode changes.
    HoldBack,
    /// Everything waits until the mode changes.
    Hold,
}
