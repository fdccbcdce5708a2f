use std::time::Duration;

use crate::ids::RequestFingerprint;
use crate::time::ClockTime;

use super::crash_evidence::longest_series;
use super::{CrashChange, CrashEvidence, CrashNote, CrashVerdict, NotedCrash};

/// Crashes in a row after which a request is blamed. A request that is sent while upstreams crash by themselves is lost
/// once or twice.
pub(super) const BLAMING_CRASHES: usize = 3;
/// Time after its last crash from which a request is tried again. The cause is mended by a release, which takes minutes,
/// and each trial costs everyone an upstream.
const MEMORY: Duration = Duration::from_secs(600);

/// A request that upstreams crashed under.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownRequest {
    /// The crashes since the last completion, each of an attempt that began after the crash before.
    crashes: Vec<CrashEvidence>,
    /// When an upstream last ran the request to its end; `None` if none did.
    completed_at: Option<ClockTime>,
    last_crash_at: ClockTime,
    /// When this instance last learned something of the request.
    pub(super) changed_at: ClockTime,
}

impl KnownRequest {
    pub(super) fn is_blamed(&self) -> bool {
        self.crashes.len() >= BLAMING_CRASHES
    }

    /// Returns the number of crashes in a row.
    pub(super) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether nothing was heard of the request for so long that it may be forgotten.
    pub(super) fn is_outdated(&self, now: ClockTime) -> bool {
        now.since(self.last_crash_at) >= MEMORY && now.since(self.changed_at) >= MEMORY
    }

    pub(super) fn verdict(&self, now: ClockTime) -> CrashVerdict {
        let left = MEMORY.saturating_sub(now.since(self.last_crash_at));
        match (self.crashes.is_empty(), self.is_blamed()) {
            _ if left.is_zero() => CrashVerdict::Unsuspected,
            (true, _) => CrashVerdict::Unsuspected,
            (false, false) => CrashVerdict::Suspected,
            (false, true) => CrashVerdict::Blamed { left },
        }
    }

    /// Adds crashes and a completion. Returns the change of the belief, if there is one.
    pub(super) fn record(
        &mut self,
        now: ClockTime,
        crashes: &[CrashEvidence],
        completed_at: Option<ClockTime>,
    ) -> Option<CrashChange> {
        let was_blamed = self.is_blamed();
        let known_count = self.crashes.len();
        let is_new_completion = completed_at > self.completed_at;
        self.completed_at = self.completed_at.max(completed_at);
        let is_known = |id| self.crashes.iter().any(|known| known.id == id);
        let unknown: Vec<CrashEvidence> = crashes
            .iter()
            .filter(|crash| !is_known(crash.id))
            .copied()
            .collect();
        let mut all = std::mem::take(&mut self.crashes);
        all.extend(unknown);
        all.retain(|crash| Some(crash.crashed_at) > self.completed_at);
        for crash in &all {
            self.last_crash_at = self.last_crash_at.max(crash.crashed_at);
        }
        self.crashes = longest_series(all, BLAMING_CRASHES);
        // Whoever passed on a crash that a completion voids has not heard of the completion.
        let is_voided = |crash: &CrashEvidence| Some(crash.crashed_at) <= self.completed_at;
        let is_refuted = crashes.iter().any(is_voided) || is_new_completion && known_count > 0;
        if self.crashes.len() != known_count || is_refuted {
            self.changed_at = now;
        }
        match (was_blamed, self.is_blamed()) {
            (false, true) => Some(CrashChange::Blamed),
            (true, false) => Some(CrashChange::Cleared),
            _ => None,
        }
    }

    /// Returns what to pass on about the request.
    pub(super) fn note(&self, now: ClockTime, fingerprint: RequestFingerprint) -> CrashNote {
        let age_ms = |time| u64::try_from(now.since(time).as_millis()).unwrap_or(u64::MAX);
        let crashes = self.crashes.iter().map(|crash| NotedCrash {
            id: crash.id,
            sent_age_ms: age_ms(crash.sent_at),
            crash_age_ms: age_ms(crash.crashed_at),
        });
        CrashNote {
            fingerprint,
            crashes: crashes.collect(),
            completion_age_ms: self.completed_at.map(age_ms),
        }
    }
}
