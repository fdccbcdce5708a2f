use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::{AbortHandle, JoinHandle};

use super::SendGate;

/// Ends the remaining attempts of a request when the request has ended and the guard is dropped.
///
/// Attempts that have not sent the request end at once and never send it. The others may continue for a grace period,
/// since the connection of an attempt that is aborted cannot be reused and opening another one is expensive.
pub(super) struct RunGuard {
    attempts: Vec<GuardedAttempt>,
    grace_period: Option<Duration>,
}

struct GuardedAttempt {
    /// Index of the sub-request.
    index: usize,
    task: AbortHandle,
    gate: Arc<SendGate>,
}

impl RunGuard {
    /// Creates a guard that aborts the attempts that have sent the request `grace_period` after it is dropped; they are
    /// never aborted if it is `None`.
    pub(super) fn new(grace_period: Option<Duration>) -> Self {
        Self {
            attempts: Vec::new(),
            grace_period,
        }
    }

    /// Adds an attempt at the sub-request with this index, and the gate that it passes when it sends the request.
    pub(super) fn add(&mut self, index: usize, task: &JoinHandle<()>, gate: Arc<SendGate>) {
        self.attempts.push(GuardedAttempt {
            index,
            task: task.abort_handle(),
            gate,
        });
    }

    /// Forgets the attempt that passes `gate`, since its outcome is known.
    pub(super) fn forget(&mut self, gate: &Arc<SendGate>) {
        self.attempts
            .retain(|attempt| !Arc::ptr_eq(&attempt.gate, gate));
    }

    /// Returns whether an attempt whose outcome is not known has sent the request.
    pub(super) fn has_sent(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.gate.is_passed())
    }

    /// Returns the number of attempts at the sub-request with this index that have not sent it so far.
    pub(super) fn unsent_count(&self, index: usize) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.index == index && !attempt.gate.is_passed())
            .count()
    }

    /// Ends the attempts that have not sent the request. They are still counted as unsent.
    pub(super) fn withdraw_unsent(&self) {
        for attempt in &self.attempts {
            attempt.gate.close();
        }
    }

    /// Ends the attempts that have not sent the request, and forgets them. Returns whether one that has sent it is left,
    /// whose outcome is not known.
    pub(super) fn close(&mut self) -> bool {
        self.attempts.retain(|attempt| !attempt.gate.close());
        !self.attempts.is_empty()
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.close();
        self.attempts.retain(|attempt| !attempt.task.is_finished());
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
                attempt.task.abort();
            }
        });
    }
}
