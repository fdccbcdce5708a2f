use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anvilhub_coord::ids::PlatformRevision;

/// Poll interval of watches on a lagging value: no event announces that a change has become visible.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A value with revisions whose changes readers can wait for.
#[derive(Debug)]
pub(crate) struct WatchedValue<T> {
    history: Mutex<ValueHistory<T>>,
    changed: Condvar,
}

#[derive(Debug)]
struct ValueHistory<T> {
    /// Every published value with the time of its publication.
    revisions: Vec<(Instant, T)>,
    pinned_revision: Option<PlatformRevision>,
    /// Delay after which a published value becomes visible.
    lag: Duration,
}

impl<T: Clone> ValueHistory<T> {
    /// Returns the revision that readers see at `now` and its value. Revisions count from 1 in order of publication.
    fn visible_at(&self, now: Instant) -> (PlatformRevision, T) {
        let newest = self.revisions.len();
        let index = match self.pinned_revision {
            Some(revision) => usize::try_from(revision.get()).unwrap_or(newest),
            None => self
                .revisions
                .partition_point(|(published_at, _)| *published_at + self.lag <= now),
        };
        let index = index.clamp(1, newest);
        let revision = PlatformRevision(index as u64);
        (revision, self.revisions[index - 1].1.clone())
    }
}

impl<T: Clone> WatchedValue<T> {
    /// Creates a value with `initial` as revision 1.
    pub(crate) fn new(initial: T) -> Self {
        let history = ValueHistory {
            revisions: vec![(Instant::now(), initial)],
            pinned_revision: None,
            lag: Duration::ZERO,
        };
        Self {
            history: Mutex::new(history),
            changed: Condvar::new(),
        }
    }

    pub(crate) fn publish(&self, value: T) {
        self.update_history(|history| history.revisions.push((Instant::now(), value)));
    }

    /// Shows `revision` to readers instead of the newest one. Revision 0 removes the pin.
    pub(crate) fn pin(&self, revision: PlatformRevision) {
        self.update_history(|history| {
            history.pinned_revision = (revision.get() > 0).then_some(revision)
        });
    }

    /// Sets the delay after which a published value becomes visible.
    pub(crate) fn set_lag(&self, lag: Duration) {
        self.update_history(|history| history.lag = lag);
    }

    /// Returns the visible revision and its value.
    pub(crate) fn read(&self) -> (PlatformRevision, T) {
        self.lock().visible_at(Instant::now())
    }

    /// Waits up to `wait` for a revision above `after`, then returns the visible revision and its value.
    pub(crate) fn wait_after(
        &self,
        after: PlatformRevision,
        wait: Duration,
    ) -> (PlatformRevision, T) {
        let deadline = Instant::now() + wait;
        let mut history = self.lock();
        loop {
            let now = Instant::now();
            let (revision, value) = history.visible_at(now);
            if revision > after || now >= deadline {
                return (revision, value);
            }
            let pause = match history.lag.is_zero() {
                true => deadline - now,
                false => LAG_POLL_INTERVAL.min(deadline - now),
            };
            let result = self.changed.wait_timeout(history, pause);
            history = result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn update_history(&self, update: impl FnOnce(&mut ValueHistory<T>)) {
        update(&mut self.lock());
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, ValueHistory<T>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
