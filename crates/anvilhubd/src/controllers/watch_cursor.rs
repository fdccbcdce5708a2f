use anvilhub_coord::ids::PlatformRevision;

/// Position of a watch of a platform value.
///
/// A platform that lost its data restarts revisions at a low number, and a watch for a higher revision would then
/// never return. A watch that ends without a change is therefore followed by a plain read.
#[derive(Debug, Default)]
pub(crate) struct WatchCursor {
    revision: Option<PlatformRevision>,
    needs_plain_read: bool,
}

impl WatchCursor {
    /// Returns the revision after which to wait for a change, `None` for a plain read.
    pub(crate) fn known_revision(&self) -> Option<PlatformRevision> {
        self.revision.filter(|_| !self.needs_plain_read)
    }

    /// Records that a value was read. Returns whether its revision differs from the last one.
    pub(crate) fn record_value(&mut self, revision: PlatformRevision) -> bool {
        let is_changed = self.revision != Some(revision);
        self.revision = Some(revision);
        self.needs_plain_read = false;
        is_changed
    }

    /// Records that a watch ended without a change.
    pub(crate) fn record_unchanged(&mut self) {
        self.needs_plain_read = true;
    }

    /// Forgets the revision, after a failed read or when the current value must be read again.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
