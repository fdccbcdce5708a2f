use anvilhub_coord::ids::PlatformRevision;

/// Where a watch of a platform value stands.
///
/// A platform that lost its data counts revisions from a low number again, and a watch for a higher one would then
/// never see the values that follow. A watch that ends without news is therefore followed by a plain read.
#[derive(Debug, Default)]
pub(crate) struct WatchCursor {
    revision: Option<PlatformRevision>,
    verifies: bool,
}

impl WatchCursor {
    /// The revision to wait beyond, `None` for a plain read.
    pub(crate) fn after(&self) -> Option<PlatformRevision> {
        self.revision.filter(|_| !self.verifies)
    }

    /// Notes a value; says whether it is another one than before.
    pub(crate) fn read(&mut self, revision: PlatformRevision) -> bool {
        let is_news = self.revision != Some(revision);
        self.revision = Some(revision);
        self.verifies = false;
        is_news
    }

    /// Notes that a watch ended without news.
    pub(crate) fn unchanged(&mut self) {
        self.verifies = true;
    }

    /// Notes that a read failed, or that the present value has to be seen again.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
