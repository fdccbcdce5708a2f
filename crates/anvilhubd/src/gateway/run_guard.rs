use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::{AbortHandle, JoinHandle};

/// Ends the attempts of a request that nobody waits for any more.
///
/// They may go on for a while: an attempt that ends by itself keeps its connection, which is dear to open again.
pub(super) struct RunGuard {
    attempts: Vec<AbortHandle>,
    grace: Option<Duration>,
}

impl RunGuard {
    /// A guard that ends attempts `grace` after it is dropped; never if `None`.
    pub(super) fn new(grace: Option<Duration>) -> Self {
        Self {
            attempts: Vec::new(),
            grace,
        }
    }

    pub(super) fn add(&mut self, attempt: &JoinHandle<()>) {
        self.attempts.push(attempt.abort_handle());
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.attempts.retain(|attempt| !attempt.is_finished());
        let Some(grace) = self.grace else {
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
            tokio::time::sleep(grace).await;
            for attempt in attempts {
                attempt.abort();
            }
        });
    }
}
