use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::{AbortHandle, JoinHandle};

/// Aborts the remaining attempts of a request when the request has ended and the guard is dropped.
///
/// The attempts may continue for a grace period, since the connection of an attempt that is aborted cannot be reused
/// and opening another one is expensive.
pub(super) struct RunGuard {
    attempts: Vec<AbortHandle>,
    grace_period: Option<Duration>,
}

impl RunGuard {
    /// Creates a guard that aborts its attempts `grace_period` after it is dropped; they are never aborted if it is
    /// `None`.
    pub(super) fn new(grace_period: Option<Duration>) -> Self {
        Self {
            attempts: Vec::new(),
            grace_period,
        }
    }

    /// Adds an attempt to abort.
    pub(super) fn add(&mut self, attempt: &JoinHandle<()>) {
        self.attempts.push(attempt.abort_handle());
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.attempts.retain(|attempt| !attempt.is_finished());
        let Some(grace_period) = self.grace_period else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if self.attempts.is_empty() {
            return;
        }
        let attempts = std::mem::take(&mut self.attempts);
        runtime.spawn(async move {
            tokio::time::sleep(grace_period).await;
            for attempt in attempts {
                attempt.abort();
            }
        });
    }
}
