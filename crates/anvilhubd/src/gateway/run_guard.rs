use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::{AbortHandle, JoinHandle};

/// Aborts the remaining attempts of a request that has ended.
///
/// They may continue for a grace period: an attempt that ends by itself keeps its connection, which is expensive to
/// reopen.
pub(super) struct RunGuard {
    attempts: Vec<AbortHandle>,
    grace_period: Option<Duration>,
}

impl RunGuard {
    /// Creates a guard that aborts attempts when `grace_period` has passed after it is dropped; never if `None`.
    pub(super) fn new(grace_period: Option<Duration>) -> Self {
        Self {
            attempts: Vec::new(),
            grace_period,
        }
    }

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
