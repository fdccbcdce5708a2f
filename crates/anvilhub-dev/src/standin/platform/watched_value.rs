use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anvilhub_coord::ids::PlatformRevision;

/// Longest wait between two looks at a lagging value: its change has no event of its own.
const LAG_POLL: Duration = Duration::from_millis(10);

/// A revisioned value that readers can wait on.
#[derive(Debug)]
pub(crate) struct WatchedValue<T> {
    history: Mutex<ValueHistory<T>>,
    changed: Condvar,
}

#[derive(Debug)]
struct ValueHistory<T> {
    published: Vec<(Instant, T)>,
    pinned: Option<PlatformRevision>,
    lag: Duration,
}

impl<T: Clone> ValueHistory<T> {
    /// The revision that readers see at `now`. Revisions count from 1 in order of publication.
    fn visible(&self, now: Instant) -> (PlatformRevision, T) {
        let newest = self.published.len();
        let index = match self.pinned {
            Some(revision) => usize::try_from(revision.get()).unwrap_or(newest),
            None => self
                .published
                .partition_point(|(at, _)| *at + self.lag <= now),
        };
        let index = index.clamp(1, newest);
        let revision = PlatformRevision(index as u64);
        (revision, self.published[index - 1].1.clone())
    }
}

impl<T: Clone> WatchedValue<T> {
    /// Starts with `first` as revision 1.
    pub(crate) fn new(first: T) -> Self {
        let history = ValueHistory {
            published: vec![(Instant::now(), first)],
            pinned: None,
            lag: Duration::ZERO,
        };
        Self {
            history: Mutex::new(history),
            changed: Condvar::new(),
        }
    }

    pub(crate) fn publish(&self, value: T) {
        self.change(|history| history.published.push((Instant::now(), value)));
    }

    /// Serves `revision` until it is set to 0.
    pub(crate) fn pin(&self, revision: PlatformRevision) {
        self.change(|history| history.pinned = (revision.get() > 0).then_some(revision));
    }

    pub(crate) fn set_lag(&self, lag: Duration) {
        self.change(|history| history.lag = lag);
    }

    /// The visible value.
    pub(crate) fn read(&self) -> (PlatformRevision, T) {
        self.lock().visible(Instant::now())
    }

    /// Waits for a revision above `after`; when `wait` passes without one, gives the visible value.
    pub(crate) fn wait_after(
        &self,
        after: PlatformRevision,
        wait: Duration,
    ) -> (PlatformRevision, T) {
        let deadline = Instant::now() + wait;
        let mut history = self.lock();
        loop {
            let now = Instant::now();
            let (revision, value) = history.visible(now);
            if revision > after || now >= deadline {
                return (revision, value);
            }
            let pause = match history.lag.is_zero() {
                true => deadline - now,
                false => LAG_POLL.min(deadline - now),
            };
            let waited = self.changed.wait_timeout(history, pause);
            history = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn change(&self, apply: impl FnOnce(&mut ValueHistory<T>)) {
        apply(&mut self.lock());
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, ValueHistory<T>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
