use crate::ids::InstanceId;
use crate::sheet::SheetStamp;
use crate::time::ClockTime;

/// A fetch that a peer has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingFetch {
    pub(crate) peer: InstanceId,
    pub(crate) stamp: SheetStamp,
    pub(crate) deadline: ClockTime,
}
