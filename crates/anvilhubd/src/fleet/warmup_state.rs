use std::time::Duration;

use anvilhub_coord::ids::{CallRate, InstanceId};
use anvilhub_coord::limit::{
    SendPermit, UpstreamProcess, WarmupBound, WarmupChange, WarmupReport, WarmupTable,
};
use anvilhub_coord::time::ClockTime;
use log::info;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::SharerCache;

/// The cold upstreams, shared by the request path and the adapter that supplies upstreams. Logs when warm-ups begin and
/// end.
pub(crate) struct WarmupState {
    clock: DaemonClock,
    own_instance: InstanceId,
    /// `None` if the deployment states no bound for cold upstreams.
    table: Option<LockCell<WarmupTable>>,
    sharers: SharerCache,
}

impl WarmupState {
    pub(super) fn new(
        clock: DaemonClock,
        own_instance: InstanceId,
        bound: Option<WarmupBound>,
    ) -> Self {
        Self {
            clock,
            own_instance,
            table: bound.map(|bound| LockCell::new(WarmupTable::new(bound))),
            sharers: SharerCache::default(),
        }
    }

    /// Returns whether the deployment states a bound for cold upstreams.
    pub(crate) fn is_enabled(&self) -> bool {
        self.table.is_some()
    }

    /// Replaces the list of upstreams. `platform_age` is the age of the platform's values.
    pub(crate) fn record_reports(
        &self,
        reports: impl IntoIterator<Item = WarmupReport>,
        platform_age: Duration,
    ) {
        let Some(table) = &self.table else {
            return;
        };
        let now = self.clock.now();
        let changes = table.with(|table| table.record_reports(now, reports));
        for change in changes {
            log_change(&change, "report", Some(platform_age));
        }
    }

    /// Records that an answer of an upstream states that it stays cold for `left`.
    pub(crate) fn record_answer(&self, process: &UpstreamProcess, left: Duration) {
        let Some(table) = &self.table else {
            return;
        };
        let now = self.clock.now();
        if let Some(change) = table.with(|table| table.record_answer(now, process, left)) {
            log_change(&change, "answer", None);
        }
    }

    /// Returns whether a request may be placed at an upstream. `list_sharers` returns the instances that share the limits
    /// of cold upstreams.
    pub(super) fn permit(
        &self,
        now: ClockTime,
        process: &UpstreamProcess,
        list_sharers: impl FnOnce() -> Vec<InstanceId>,
    ) -> SendPermit {
        let Some(table) = &self.table else {
            return SendPermit::Unlimited;
        };
        table.with(|table| {
            table.permit(now, process, |count| {
                let sharers = self.sharers.get(now, list_sharers);
                sharers.whole_share(&self.own_instance, process, count)
            })
        })
    }

    /// Keeps room for a request that is placed at an upstream.
    pub(crate) fn reserve(&self, process: &UpstreamProcess) {
        let now = self.clock.now();
        self.update(|table| table.reserve(now, process));
    }

    /// Gives back the room of a request that was placed at an upstream and not sent.
    pub(crate) fn release(&self, process: &UpstreamProcess) {
        self.update(|table| table.release(process));
    }

    /// Records that a request is sent now, unless the upstream is cold and has no room for it; returns whether it may be
    /// sent. `list_sharers` returns the instances that share the limits of cold upstreams.
    pub(super) fn try_send(
        &self,
        now: ClockTime,
        process: &UpstreamProcess,
        list_sharers: impl FnOnce() -> Vec<InstanceId>,
    ) -> bool {
        let Some(table) = &self.table else {
            return true;
        };
        table.with(|table| {
            table.try_send(now, process, |count| {
                let sharers = self.sharers.get(now, list_sharers);
                sharers.whole_share(&self.own_instance, process, count)
            })
        })
    }

    /// Records that a request did not reach the upstream although `try_send` returned true for it at `sent_at`. It counts as
    /// placed again.
    pub(crate) fn retract(&self, sent_at: ClockTime, process: &UpstreamProcess) {
        self.update(|table| table.retract(sent_at, process));
    }

    /// Returns whether an upstream is cold and its service states a bound.
    pub(crate) fn is_cold(&self, process: &UpstreamProcess) -> bool {
        let now = self.clock.now();
        let table = self.table.as_ref();
        table.is_some_and(|table| table.with(|table| table.is_cold(now, process)))
    }

    /// Logs the warm-ups that have ended since the last call, and updates the metrics.
    pub(crate) fn report(&self) {
        let Some(table) = &self.table else {
            return;
        };
        let now = self.clock.now();
        let (cold_count, withheld_count, ended) = table.with(|table| {
            (
                table.cold_count(now),
                table.take_withheld_count(),
                table.take_ended(now),
            )
        });
        metrics::gauge!("anvilhub_cold_upstreams").set(cold_count as f64);
        metrics::counter!("anvilhub_cold_withheld_total").increment(withheld_count);
        for change in ended {
            log_change(&change, "time", None);
        }
    }

    fn update(&self, change: impl FnOnce(&mut WarmupTable)) {
        if let Some(table) = &self.table {
            table.with(change);
        }
    }
}

/// Logs the beginning or the end of a warm-up. `source` is what this instance knows it from.
fn log_change(change: &WarmupChange, source: &'static str, platform_age: Option<Duration>) {
    let cold_per_s = change.cold_rate.map(CallRate::get);
    let platform_age_ms = platform_age.map(|age| age.as_millis() as u64);
    match change.left {
        Some(left) => info!(
            upstream:% = change.process.id, left_ms = left.as_millis() as u64, cold_per_s:?, platform_age_ms:?, source;
            "upstream warm-up begins"
        ),
        None => info!(
            upstream:% = change.process.id, cold_per_s:?, platform_age_ms:?, source;
            "upstream warm-up ends"
        ),
    }
}
