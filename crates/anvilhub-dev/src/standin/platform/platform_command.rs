use anvilhub_coord::border::platform::InstanceEntry;
use anvilhub_coord::ids::{CallRate, PlatformRevision};
use serde::{Deserialize, Serialize};

/// Body of `POST /control`: every field that is present takes effect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformCommand {
    /// Publishes a sheet; the text is not checked, as the platform does not know its format.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub publish_sheet: Option<String>,
    /// Publishes an instance list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub publish_instances: Option<Vec<InstanceEntry>>,
    /// Serves this revision of the sheet instead of the newest; 0 serves the newest again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub serve_sheet_revision: Option<PlatformRevision>,
    /// Serves this revision of the instance list instead of the newest; 0 serves the newest again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub serve_instances_revision: Option<PlatformRevision>,
    /// Time after which a published instance list becomes visible, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instances_lag_ms: Option<u64>,
    /// Whether readers get answers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<DownMode>,
    /// Calls per second over all readers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub call_rate: Option<CallRate>,
}

/// What readers see while the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// The platform is up.
    #[default]
    No,
    /// Each call is answered with status 503.
    Refuse,
    /// Calls get no answer until the platform is up again.
    Hang,
}
