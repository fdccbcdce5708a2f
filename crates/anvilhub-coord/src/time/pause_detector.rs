use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::ClockTime;

/// Detects that the whole process was paused, from a gap between heartbeats.
///
/// One thread beats; every use point checks. All threads share one detector, so that the thread that
/// resumes first detects the pause, whichever it is. The end of the last pause stays readable, so that a
/// thread that resumes later learns of a pause that another one detected.
#[derive(Debug)]
pub struct PauseDetector {
    limit: Duration,
    last_beat: AtomicU64,
    /// End of the last pause; zero when there was none.
    resumed_at: AtomicU64,
}

impl PauseDetector {
    /// A detector that starts at `now` and takes a gap above `limit` for a pause.
    pub fn new(limit: Duration, now: ClockTime) -> Self {
        Self {
            limit,
            last_beat: AtomicU64::new(now.0),
            resumed_at: AtomicU64::new(0),
        }
    }

    /// Records a heartbeat. Returns the length of the pause that it ends, if it ends one.
    pub fn record_heartbeat(&self, now: ClockTime) -> Option<Duration> {
        self.note(ClockTime(self.last_beat.load(Ordering::Acquire)), now);
        let last = self.last_beat.fetch_max(now.0, Ordering::AcqRel);
        self.gap(ClockTime(last), now)
    }

    /// Compares `now` with the last heartbeat. Returns the length of the pause that this call detects; of
    /// several threads that check at once, exactly one detects it.
    pub fn detect_pause(&self, now: ClockTime) -> Option<Duration> {
        let last = self.last_beat.load(Ordering::Acquire);
        let pause = self.note(ClockTime(last), now)?;
        let taken =
            self.last_beat
                .compare_exchange(last, now.0, Ordering::AcqRel, Ordering::Acquire);
        taken.is_ok().then_some(pause)
    }

    /// End of the last pause. What was confirmed earlier must be confirmed again before use.
    pub fn resumed_at(&self) -> Option<ClockTime> {
        match self.resumed_at.load(Ordering::Acquire) {
            0 => None,
            micros => Some(ClockTime(micros)),
        }
    }

    /// Publishes the end of a pause. Called before `last_beat` moves on: a thread that sees the new
    /// heartbeat also sees the pause.
    fn note(&self, last: ClockTime, now: ClockTime) -> Option<Duration> {
        let pause = self.gap(last, now)?;
        self.resumed_at.fetch_max(now.0, Ordering::AcqRel);
        Some(pause)
    }

    fn gap(&self, last: ClockTime, now: ClockTime) -> Option<Duration> {
        let gap = now.since(last);
        (gap > self.limit).then_some(gap)
    }
}
