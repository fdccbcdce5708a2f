use serde::{Deserialize, Serialize};

use crate::ids::PlatformRevision;

/// A value of the platform, encoded as the platform sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Key of the value.
    pub key: String,
    /// The value; `None` if it has been removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Revision of its last change.
    pub revision: PlatformRevision,
}
