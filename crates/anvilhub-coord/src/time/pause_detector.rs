use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::ClockTime;

/// Detects from a gap between heartbeats that the whole process was paused.
///
/// One thread records heartbeats, and every thread checks for a pause before it uses a value that a pause
/// invalidates. All threads share one detector, so that whichever thread resumes first detects the pause. The end
/// of the last pause stays readable, for threads that resume after another one detected the pause.
#[derive(Debug)]
pub struct PauseDetector {
    max_gap: Duration,
    /// Time of the last heartbeat in microseconds.
    last_heartbeat: AtomicU64,
    /// End of the last pause in microseconds; zero if there was none.
    resumed_at: AtomicU64,
}

impl PauseDetector {
    /// Creates a detector that starts at `now` and treats a gap longer than `max_gap` as a pause.
    pub fn new(max_gap: Duration, now: ClockTime) -> Self {
        Self {
            max_gap,
            last_heartbeat: AtomicU64::new(now.0),
            resumed_at: AtomicU64::new(0),
        }
    }

    /// Records a heartbeat. Returns the length of the pause that it ends, if it ends one.
    pub fn record_heartbeat(&self, now: ClockTime) -> Option<Duration> {
        self.publish_pause(ClockTime(self.last_heartbeat.load(Ordering::Acquire)), now);
        let last = self.last_heartbeat.fetch_max(now.0, Ordering::AcqRel);
        self.pause_between(ClockTime(last), now)
    }

    /// Checks for a pause since the last heartbeat and returns its length. Of several threads that check at the same
    /// time, exactly one gets the pause.
    pub fn detect_pause(&self, now: ClockTime) -> Option<Duration> {
        let last = self.last_heartbeat.load(Ordering::Acquire);
        let pause = self.publish_pause(ClockTime(last), now)?;
        let exchanged =
            self.last_heartbeat
                .compare_exchange(last, now.0, Ordering::AcqRel, Ordering::Acquire);
        exchanged.is_ok().then_some(pause)
    }

    /// Returns the end of the last pause, if there was one. Values that were confirmed earlier must be confirmed again
    /// before use.
    pub fn resumed_at(&self) -> Option<ClockTime> {
        match self.resumed_at.load(Ordering::Acquire) {
            0 => None,
            micros => Some(ClockTime(micros)),
        }
    }

    /// Publishes the end of a pause. This happens before `last_heartbeat` is updated, so that a thread that sees the
    /// new heartbeat also sees the pause.
    fn publish_pause(&self, last: ClockTime, now: ClockTime) -> Option<Duration> {
        let pause = self.pause_between(last, now)?;
        self.resumed_at.fetch_max(now.0, Ordering::AcqRel);
        Some(pause)
    }

    fn pause_between(&self, last: ClockTime, now: ClockTime) -> Option<Duration> {
        let gap = now.since(last);
        (gap > self.max_gap).then_some(gap)
    }
}
