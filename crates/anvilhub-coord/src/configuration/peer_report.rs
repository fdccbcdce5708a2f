use crate::ids::Incarnation;
use crate::sheet::SheetStamp;
use crate::time::ClockTime;

use super::PeerStage;

/// What is known about one peer and its sheets.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReport {
    pub(crate) contact: PeerContact,
    /// Incarnation of the process that sent the last message.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) stage: Option<PeerStage>,
    /// Stamp of the sheet that the peer has in force.
    pub(crate) accepted: Option<SheetStamp>,
    /// Stamp of the sheet that the peer is about to accept.
    pub(crate) candidate: Option<SheetStamp>,
    /// Time of the last message from the peer.
    pub(crate) last_message_at: ClockTime,
    /// Number of consecutive fetches that failed.
    pub(crate) failed_fetches: u32,
}

impl PeerReport {
    /// Records the sheet that a process of the peer has in force. The stamp of a process only rises, so a lower one comes
    /// from a message that was delayed, for example while this process was paused.
    pub(crate) fn record_accepted(
        &mut self,
        incarnation: Incarnation,
        accepted: Option<SheetStamp>,
    ) {
        let is_same_process = self.incarnation.replace(incarnation) == Some(incarnation);
        self.accepted = match is_same_process {
            true => self.accepted.max(accepted),
            false => accepted,
        };
    }

    /// Returns whether the peer has a confirmed sheet in force.
    pub(crate) fn is_ready(&self) -> bool {
        let is_confirmed = matches!(self.stage, Some(PeerStage::Ready | PeerStage::Draining));
        is_confirmed && self.accepted.is_some()
    }
}

/// Result of contacting a peer since the instance started or resumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerContact {
    /// The peer has not answered yet.
    #[default]
    Unknown,
    /// The peer answered an exchange that was sent after the start or the last pause.
    Answered,
    /// The peer's address refused a connection, so no process of the peer is running.
    Absent,
    /// An exchange with the peer timed out.
    Silent,
}

impl PeerContact {
    /// Returns whether the instance no longer has to wait for the peer.
    pub(crate) fn is_resolved(self) -> bool {
        matches!(self, Self::Answered | Self::Absent)
    }
}
