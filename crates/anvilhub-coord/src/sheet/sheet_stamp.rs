use std::cmp::Ordering;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{PlatformRevision, SheetDigest, SheetVersion};

/// Identity and precedence of a sheet. The sheet with the greater stamp takes precedence.
///
/// A higher version takes precedence. If one version has two contents, the one with the lower platform revision takes
/// precedence, and then the one with the lower digest, so that all instances choose the same sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("version {version} revision {revision} digest {digest}")]
#[serde(deny_unknown_fields)]
pub struct SheetStamp {
    /// Version that the operators gave the sheet.
    pub version: SheetVersion,
    /// Revision under which the platform served the sheet.
    pub revision: PlatformRevision,
    /// Digest of the content.
    pub digest: SheetDigest,
}

impl SheetStamp {
    /// Returns whether both stamps have the same version but different contents.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.version == other.version && self.digest != other.digest
    }
}

impl Ord for SheetStamp {
    fn cmp(&self, other: &Self) -> Ordering {
        self.version
            .cmp(&other.version)
            .then(other.revision.cmp(&self.revision))
            .then(other.digest.cmp(&self.digest))
    }
}

impl PartialOrd for SheetStamp {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
