use std::cmp::Ordering;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{PlatformRevision, SheetDigest, SheetVersion};

/// Identity of a sheet and its precedence: the greater of two stamps is the sheet to have in force.
///
/// A higher version takes precedence. If one version has two contents, the one with the lower platform
/// revision does, then the one with the lower digest, so that all instances choose the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("version {version} revision {revision} digest {digest}")]
#[serde(deny_unknown_fields)]
pub struct SheetStamp {
    /// Version that the operators gave it.
    pub version: SheetVersion,
    /// Revision under which the platform served it.
    pub revision: PlatformRevision,
    /// Digest of the content.
    pub digest: SheetDigest,
}

impl SheetStamp {
    /// Says whether both stamps name one version with different contents.
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
