use std::collections::HashMap;
use std::time::Duration;

use crate::ids::RequestFingerprint;
use crate::time::ClockTime;

use super::known_request::BLAMING_CRASHES;
use super::{CrashChange, CrashEvidence, CrashNote, CrashVerdict, KnownRequest, RecentCompletions};

/// Maximum number of requests with crashes that are remembered.
const MAX_REQUESTS: usize = 1_024;
/// Time for which news of a request that is not blamed is passed on: a few rounds of exchanges. Requests that are blamed
/// are passed on as long as they are, for instances that start or were cut off.
const NEWS_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of requests that are passed on at once.
const MAX_NOTES: usize = 64;

/// The requests that upstreams crashed under, as this instance and others have seen it.
///
/// Designed for a request that crashes every upstream that begins to run it and comes again at any instance, beside
/// upstreams that crash for other reasons. Each crash is seen by one instance, and takes every request that the upstream
/// held. What tells them apart is that the others are run to their end on the next try: a completion voids all crashes
/// before it.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestFingerprint, KnownRequest>,
    completions: RecentCompletions,
}

impl CrashLedger {
    /// Records that an upstream crashed while it held the request. Returns the change of the belief, if there is one.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        crash: CrashEvidence,
    ) -> Option<CrashChange> {
        self.record(now, fingerprint, &[crash], None)
    }

    /// Records that an upstream ran the request to its end, successfully or not. Returns the change of the belief, if
    /// there is one.
    pub fn record_completion(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> Option<CrashChange> {
        self.completions.record(now, fingerprint);
        let request = self.requests.get_mut(&fingerprint)?;
        request.record(now, &[], Some(now))
    }

    /// Records what another instance passed on. Returns the change of the belief, if there is one.
    pub fn record_note(&mut self, now: ClockTime, note: &CrashNote) -> Option<CrashChange> {
        let time = |age_ms| now - Duration::from_millis(age_ms);
        // Times from before the start of this instance's clock cannot be ordered. A complete series needs no order.
        let clock_age = now.since(ClockTime::default());
        let is_complete = note.crashes.len() >= BLAMING_CRASHES;
        let crashes: Vec<CrashEvidence> = note
            .crashes
            .iter()
            .filter(|crash| is_complete || Duration::from_millis(crash.sent_age_ms) <= clock_age)
            .map(|crash| CrashEvidence {
                id: crash.id,
                sent_at: time(crash.sent_age_ms),
                crashed_at: time(crash.crash_age_ms),
            })
            .collect();
        let is_known = self.requests.contains_key(&note.fingerprint);
        if !is_known && crashes.is_empty() {
            return None;
        }
        let completed_at = note.completion_age_ms.map(time);
        self.record(now, note.fingerprint, &crashes, completed_at)
    }

    fn record(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        crashes: &[CrashEvidence],
        completed_at: Option<ClockTime>,
    ) -> Option<CrashChange> {
        if !self.requests.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let own_completion = self.completions.completed_at(&fingerprint);
        let request = self.requests.entry(fingerprint).or_default();
        request.record(now, crashes, completed_at.max(own_completion))
    }

    /// Returns what to believe of the request.
    pub fn verdict(&self, now: ClockTime, fingerprint: &RequestFingerprint) -> CrashVerdict {
        let request = self.requests.get(fingerprint);
        request.map_or(CrashVerdict::Unsuspected, |request| request.verdict(now))
    }

    /// Returns the number of crashes in a row that speak against the request.
    pub fn crash_count(&self, fingerprint: &RequestFingerprint) -> usize {
        let request = self.requests.get(fingerprint);
        request.map_or(0, KnownRequest::crash_count)
    }

    /// Returns the number of requests that are blamed.
    pub fn blamed_count(&self) -> usize {
        let requests = self.requests.values();
        requests.filter(|request| request.is_blamed()).count()
    }

    /// Returns what to pass on to another instance: the requests that are blamed, and recent news of others.
    pub fn notes(&self, now: ClockTime) -> Vec<CrashNote> {
        let mut passed_on: Vec<(&RequestFingerprint, &KnownRequest)> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.is_blamed() || now.since(request.changed_at) < NEWS_DURATION
            })
            .collect();
        passed_on.sort_by_key(|(fingerprint, request)| {
            (
                !request.is_blamed(),
                now.since(request.changed_at),
                **fingerprint,
            )
        });
        passed_on.truncate(MAX_NOTES);
        let notes = passed_on.into_iter();
        notes
            .map(|(fingerprint, request)| request.note(now, *fingerprint))
            .collect()
    }

    /// Forgets requests of which nothing was heard for long.
    pub fn forget_old(&mut self, now: ClockTime) {
        self.requests.retain(|_, request| !request.is_outdated(now));
    }

    /// Makes room for one more request. Those that are not blamed go first, of these the one that changed longest ago.
    fn make_room(&mut self, now: ClockTime) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        self.forget_old(now);
        let least = self
            .requests
            .iter()
            .min_by_key(|(fingerprint, request)| {
                (request.is_blamed(), request.changed_at, **fingerprint)
            })
            .map(|(fingerprint, _)| *fingerprint);
        if let (true, Some(least)) = (self.requests.len() >= MAX_REQUESTS, least) {
            self.requests.remove(&least);
        }
    }
}
