use crate::ids::PlatformRevision;
use crate::sheet::{CheckedSheet, SheetStamp};
use crate::time::ClockTime;

/// A checked sheet that is announced before it is accepted.
#[derive(Clone, Debug)]
pub(crate) struct CandidateSheet {
    pub(crate) sheet: CheckedSheet,
    pub(crate) revision: PlatformRevision,
    /// Time at which the sheet may be accepted, or `None` while the instance is learning from its peers.
    pub(crate) settles_at: Option<ClockTime>,
}

impl CandidateSheet {
    pub(crate) fn new(sheet: CheckedSheet, revision: PlatformRevision) -> Self {
        Self {
            sheet,
            revision,
            settles_at: None,
        }
    }

    pub(crate) fn stamp(&self) -> SheetStamp {
        SheetStamp {
            version: self.sheet.version,
            revision: self.revision,
            digest: self.sheet.digest,
        }
    }
}
