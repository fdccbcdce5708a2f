use serde::{Deserialize, Serialize};

use crate::ids::PlatformRevision;

use super::FeedRecord;

/// Changes of the platform's values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// The revision up to which these are all changes.
    pub as_of: PlatformRevision,
    /// Whether these are all values, and every other one is gone.
    pub is_whole: bool,
    /// The values that changed, each once.
    pub records: Vec<FeedRecord>,
}
