use crate::ids::InstanceId;
use crate::sheet::SheetStamp;
use crate::time::ClockTime;

/// A fetch that a peer has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingFetch {
    pub(crate) peer: InstanceId,
    /// Stamp that the peer announced for the sheet.
    pub(crate) stamp: SheetStamp,
    /// Time at which the fetch counts as failed.
    pub(crate) deadline: ClockTime,
}
