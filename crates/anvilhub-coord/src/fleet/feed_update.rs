use serde::{Deserialize, Serialize};

use crate::ids::{PlatformEra, PlatformRevision};

use super::FeedRecord;

/// An update of the platform's values: the changes since an earlier revision, or all values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// The revision up to which the update is complete.
    #[serde(rename = "as_of")]
    pub revision: PlatformRevision,
    /// The era of `revision`; `None` if the platform states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<PlatformEra>,
    /// Whether `records` holds all values, so that every key it does not name has been removed.
    #[serde(rename = "is_whole")]
    pub is_full: bool,
    /// The changed values, each once.
    pub records: Vec<FeedRecord>,
}
