use crate::ids::{PlatformRevision, SheetVersion};

use super::{CheckedSheet, SheetStamp};

/// A sheet that this instance or a peer has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedSheet {
    sheet: CheckedSheet,
    revision: PlatformRevision,
}

impl AcceptedSheet {
    pub(crate) fn new(sheet: CheckedSheet, revision: PlatformRevision) -> Self {
        Self { sheet, revision }
    }

    /// Returns the checked content.
    pub fn sheet(&self) -> &CheckedSheet {
        &self.sheet
    }

    /// Returns the version of the sheet.
    pub fn version(&self) -> SheetVersion {
        self.sheet.version
    }

    /// Returns the identity and precedence of the sheet.
    pub fn stamp(&self) -> SheetStamp {
        SheetStamp {
            version: self.sheet.version,
            revision: self.revision,
            digest: self.sheet.digest,
        }
    }
}
