use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhub_coord::sheet::CheckedSheet;
use arc_swap::ArcSwapOption;

use crate::DaemonSettings;
use crate::clock::DaemonClock;
use crate::lifecycle::StageCell;
use crate::pool::UpstreamPool;

/// State that the request path, the controllers and the operator endpoints share.
pub(crate) struct EntryContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) clock: DaemonClock,
    pub(crate) stage: StageCell,
    pub(crate) sheet: ArcSwapOption<CheckedSheet>,
    pub(crate) pool: UpstreamPool,
    requests: AtomicUsize,
}

impl EntryContext {
    pub(crate) fn new(settings: DaemonSettings, clock: DaemonClock, stage: StageCell) -> Arc<Self> {
        let pool = UpstreamPool::new(&settings);
        Arc::new(Self {
            settings,
            clock,
            stage,
            sheet: ArcSwapOption::empty(),
            pool,
            requests: AtomicUsize::new(0),
        })
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

/// Marks one request as in flight.
pub(crate) struct RequestGuard(Arc<EntryContext>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
