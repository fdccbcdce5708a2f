use serde::{Deserialize, Serialize};

use super::{PlatformEra, PlatformRevision};

/// A place in the platform's history. Revisions of different eras say nothing about each other's order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlatformPlace {
    /// The era.
    pub era: PlatformEra,
    /// The revision within the era.
    pub revision: PlatformRevision,
}
