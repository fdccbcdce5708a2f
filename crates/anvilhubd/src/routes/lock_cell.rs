use std::sync::{Mutex, PoisonError};

use crossbeam::utils::CachePadded;

/// A value behind a lock of its own, on a cache line of its own.
///
/// The lock is only held while a closure runs, so it cannot be held across an await.
#[derive(Debug, Default)]
pub(crate) struct LockCell<T>(CachePadded<Mutex<T>>);

impl<T> LockCell<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(CachePadded::new(Mutex::new(value)))
    }

    /// Calls `access` with the locked value.
    pub(crate) fn with<R>(&self, access: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        access(&mut value)
    }
}
