use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::crash::{CrashChange, CrashEvidence, CrashLedger, CrashNote, CrashVerdict};
use anvilhub_coord::ids::{CrashId, RequestFingerprint, UpstreamId};
use anvilhub_coord::time::ClockTime;
use log::{info, warn};
use tokio::sync::Notify;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

/// Crashes in a row from which other instances are told without waiting for the next exchange. Most requests that lose an
/// upstream are run to their end on the next try.
const URGENT_CRASHES: usize = 2;

/// The requests that upstreams crashed under, shared by the request path and the calls between instances. Logs what
/// changes.
pub(crate) struct CrashState {
    clock: DaemonClock,
    ledger: LockCell<CrashLedger>,
    /// Wakes the gossip loop when others should hear of a crash soon.
    urgent: Notify,
    /// Number of times that it was woken.
    urgent_count: AtomicU64,
}

impl CrashState {
    pub(crate) fn new(clock: DaemonClock) -> Self {
        Self {
            clock,
            ledger: LockCell::default(),
            urgent: Notify::new(),
            urgent_count: AtomicU64::new(0),
        }
    }

    /// Records that an upstream crashed while it held a request that was sent to it at `sent_at`.
    pub(crate) fn record_crash(
        &self,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamId,
        sent_at: ClockTime,
    ) {
        let now = self.clock.now();
        let crash = CrashEvidence {
            id: CrashId(rand::random()),
            sent_at,
            crashed_at: now,
        };
        let (change, crash_count) = self.ledger.with(|ledger| {
            let change = ledger.record_crash(now, fingerprint, crash);
            (change, ledger.crash_count(&fingerprint))
        });
        metrics::counter!("anvilhub_upstream_crashes_total").increment(1);
        info!(
            upstream:% = upstream, fingerprint:% = fingerprint, held_ms = now.since(sent_at).as_millis() as u64,
            crashes = crash_count as u64;
            "upstream crashed while it held a request"
        );
        self.report_change(&fingerprint, change, "upstream");
        if crash_count >= URGENT_CRASHES {
            self.mark_urgent();
        }
    }

    /// Records that an upstream ran a request to its end.
    pub(crate) fn record_completion(&self, fingerprint: RequestFingerprint) {
        let now = self.clock.now();
        let change = self
            .ledger
            .with(|ledger| ledger.record_completion(now, fingerprint));
        self.report_change(&fingerprint, change, "upstream");
    }

    /// Records what another instance passed on.
    pub(crate) fn record_notes(&self, notes: &[CrashNote]) {
        let now = self.clock.now();
        for note in notes {
            let fingerprint = &note.fingerprint;
            let (change, before, after) = self.ledger.with(|ledger| {
                let before = ledger.crash_count(fingerprint);
                let change = ledger.record_note(now, note);
                (change, before, ledger.crash_count(fingerprint))
            });
            self.report_change(fingerprint, change, "instance");
            if change.is_some() || after > before && after >= URGENT_CRASHES {
                self.mark_urgent();
            }
        }
    }

    /// Returns what to pass on to another instance.
    pub(crate) fn collect_notes(&self) -> Vec<CrashNote> {
        let now = self.clock.now();
        self.ledger.with(|ledger| ledger.notes(now))
    }

    /// Returns what to believe of a request.
    pub(crate) fn verdict(&self, fingerprint: &RequestFingerprint) -> CrashVerdict {
        let now = self.clock.now();
        self.ledger.with(|ledger| ledger.verdict(now, fingerprint))
    }

    fn mark_urgent(&self) {
        self.urgent_count.fetch_add(1, Ordering::AcqRel);
        self.urgent.notify_one();
    }

    /// Returns how often others should have heard of a crash without delay.
    pub(crate) fn urgent_count(&self) -> u64 {
        self.urgent_count.load(Ordering::Acquire)
    }

    /// Returns the number of crashes in a row that speak against a request.
    pub(crate) fn crash_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.ledger.with(|ledger| ledger.crash_count(fingerprint))
    }

    /// Waits until others should hear of a crash without delay.
    pub(crate) async fn wait_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Forgets requests of which nothing was heard for long, and updates the metric.
    pub(crate) fn forget_old(&self) {
        let now = self.clock.now();
        let blamed_count = self.ledger.with(|ledger| {
            ledger.forget_old(now);
            ledger.blamed_count()
        });
        metrics::gauge!("anvilhub_blamed_requests").set(blamed_count as f64);
    }

    /// Logs how the belief about a request changed. `source` is who told this instance.
    fn report_change(
        &self,
        fingerprint: &RequestFingerprint,
        change: Option<CrashChange>,
        source: &'static str,
    ) {
        match change {
            Some(CrashChange::Blamed) => warn!(
                fingerprint:% = fingerprint, source;
                "request is blamed for crashes of upstreams and is no longer sent"
            ),
            Some(CrashChange::Cleared) => info!(
                fingerprint:% = fingerprint, source;
                "request is no longer blamed: an upstream ran it to its end"
            ),
            None => {}
        }
    }
}
