use crate::sheet::SheetStamp;
use crate::time::ClockTime;

use super::PeerStage;

/// What is known of one peer's sheets.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReport {
    pub(crate) contact: PeerContact,
    pub(crate) stage: Option<PeerStage>,
    pub(crate) accepted: Option<SheetStamp>,
    pub(crate) candidate: Option<SheetStamp>,
    pub(crate) heard_at: ClockTime,
    /// Fetches in a row that failed.
    pub(crate) failed_fetches: u32,
}

impl PeerReport {
    /// Says whether the peer is sure of its sheet.
    pub(crate) fn is_ready(&self) -> bool {
        let is_sure = matches!(self.stage, Some(PeerStage::Ready | PeerStage::Draining));
        is_sure && self.accepted.is_some()
    }
}

/// Whether a peer has answered since the instance started or resumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerContact {
    /// No answer yet.
    #[default]
    Unknown,
    /// It answered an exchange that was sent since.
    Answered,
    /// Its address refuses connections: it has no process.
    Absent,
    /// An exchange timed out.
    Silent,
}

impl PeerContact {
    /// Says whether the peer need not be waited for.
    pub(crate) fn is_resolved(self) -> bool {
        matches!(self, Self::Answered | Self::Absent)
    }
}
