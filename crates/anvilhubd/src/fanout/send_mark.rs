use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a sub-request may have been sent. Its clones share the mark.
///
/// The run of a request looks at it when the deadline passes before a sub-request has ended: a process that is slow may notice
/// the deadline before the end of the wait for a slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendMark(Arc<AtomicBool>);

impl SendMark {
    /// Records that an attempt begins.
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether an attempt has begun.
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
