use anvilhub_coord::border::platform::InstanceEntry;
use anvilhub_coord::ids::{CallRate, PlatformRevision};
use serde::{Deserialize, Serialize};

/// Body of `POST /control`. Absent fields change nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformCommand {
    /// Publishes a sheet. The text is not checked, because the platform does not know the format of sheets.
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
    /// Delay until a published instance list becomes visible, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instances_lag_ms: Option<u64>,
    /// Whether the platform is down, and how calls fail then.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<OutageMode>,
    /// Limit of calls per second, over all readers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub call_rate: Option<CallRate>,
}

/// How calls fail while the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// The platform is up.
    #[default]
    #[serde(rename = "no")]
    None,
    /// Every call is answered with status 503.
    Refuse,
    /// Calls wait until the platform is up again.
    Hang,
}
