use std::sync::{Mutex, PoisonError};

use crossbeam::utils::CachePadded;

/// A value under its own lock.
///
/// The lock is only held during a closure, so it cannot be held across an await.
#[derive(Debug, Default)]
pub(crate) struct RouteCell<T>(CachePadded<Mutex<T>>);

impl<T> RouteCell<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(CachePadded::new(Mutex::new(value)))
    }

    pub(crate) fn with<R>(&self, act: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut value)
    }
}
