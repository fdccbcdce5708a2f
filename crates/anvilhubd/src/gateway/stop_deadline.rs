use std::sync::OnceLock;
use std::time::Duration;

use anvilhub_coord::time::ClockTime;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::daemon_clock::DaemonClock;

/// Time before the end of the process at which callers are answered, for sending the answers and ending the process.
const MAX_STOP_MARGIN: Duration = Duration::from_millis(500);
/// `stop_grace` divided by this is the time before the end of the process at which callers are answered, if that is
/// shorter.
const STOP_MARGIN_DIVISOR: u32 = 4;

/// The time by which every caller must have its answer once a planned stop has begun.
///
/// A process that is still at work when its grace period ends is killed, and its callers learn nothing. A request whose
/// route allows it more time than is left is answered truthfully before that.
#[derive(Debug, Default)]
pub(super) struct StopDeadline {
    deadline: OnceLock<ClockTime>,
    begun: Notify,
}

impl StopDeadline {
    /// Records that a planned stop begins at `now`, after which the process is killed at the end of `stop_grace`.
    pub(super) fn begin(&self, now: ClockTime, stop_grace: Duration) {
        let margin = MAX_STOP_MARGIN.min(stop_grace / STOP_MARGIN_DIVISOR);
        // A second signal changes nothing.
        let _ = self.deadline.set(now + (stop_grace - margin));
        self.begun.notify_waiters();
    }

    /// Returns the deadline; `None` while no stop has begun.
    pub(super) fn get(&self) -> Option<ClockTime> {
        self.deadline.get().copied()
    }

    /// Waits until the deadline of a stop has passed.
    pub(super) async fn wait(&self, clock: DaemonClock) {
        loop {
            let begun = self.begun.notified();
            if let Some(deadline) = self.get() {
                return sleep(deadline.since(clock.now())).await;
            }
            begun.await;
        }
    }
}
