use crate::ids::{PlatformRevision, SheetVersion};

use super::{CheckedSheet, SheetStamp};

/// A sheet that the tier has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedSheet {
    sheet: CheckedSheet,
    revision: PlatformRevision,
}

impl AcceptedSheet {
    pub(crate) fn new(sheet: CheckedSheet, revision: PlatformRevision) -> Self {
        Self { sheet, revision }
    }

    /// The content.
    pub fn sheet(&self) -> &CheckedSheet {
        &self.sheet
    }

    /// Version of the sheet.
    pub fn version(&self) -> SheetVersion {
        self.sheet.version
    }

    /// Identity and precedence.
    pub fn stamp(&self) -> SheetStamp {
        SheetStamp {
            version: self.sheet.version,
            revision: self.revision,
            digest: self.sheet.digest,
        }
    }
}
