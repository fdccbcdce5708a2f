use serde::{Deserialize, Serialize};

use crate::ids::PlatformRevision;

/// A value of the platform, in the form in which the platform hands it out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Key of the value.
    pub key: String,
    /// The value; `None` when it was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Revision of its last change.
    pub revision: PlatformRevision,
}
