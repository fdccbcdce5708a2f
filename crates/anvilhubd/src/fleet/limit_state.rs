use anvilhub_coord::ids::{CallRate, InstanceId};
use anvilhub_coord::limit::{
    LimitChange, LimitNote, LimitTable, SendPermit, StatedLimit, UpstreamProcess,
};
use anvilhub_coord::time::ClockTime;
use log::info;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::SharerCache;

/// The limits that upstreams name, shared by the request path and the calls between instances. Logs their changes.
pub(crate) struct LimitState {
    clock: DaemonClock,
    own_instance: InstanceId,
    table: LockCell<LimitTable>,
    sharers: SharerCache,
}

impl LimitState {
    pub(super) fn new(clock: DaemonClock, own_instance: InstanceId) -> Self {
        Self {
            clock,
            own_instance,
            table: LockCell::default(),
            sharers: SharerCache::default(),
        }
    }

    /// Records the limit that an answer of an upstream states. `has_run` is whether the upstream ran the request.
    pub(crate) fn record_answer(
        &self,
        process: &UpstreamProcess,
        stated: StatedLimit,
        has_run: bool,
    ) {
        let now = self.clock.now();
        let change = self
            .table
            .with(|table| table.record_answer(now, process, stated, has_run));
        log_change(process, change, "upstream");
    }

    /// Records the limits that another instance passed on.
    pub(super) fn record_notes(&self, notes: &[LimitNote]) {
        let now = self.clock.now();
        for note in notes {
            let change = self.table.with(|table| table.record_note(now, note));
            log_change(&note.upstream, change, "instance");
        }
    }

    /// Returns the limits to pass on to another instance.
    pub(super) fn collect_notes(&self) -> Vec<LimitNote> {
        let now = self.clock.now();
        self.table.with(|table| table.notes(now))
    }

    /// Returns whether a request may be sent to an upstream under the limit that it names. `list_sharers` returns the
    /// instances that share limits.
    pub(super) fn permit(
        &self,
        now: ClockTime,
        process: &UpstreamProcess,
        list_sharers: impl FnOnce() -> Vec<InstanceId>,
    ) -> SendPermit {
        self.table.with(|table| {
            table.permit(now, process, |limit| {
                let sharers = self.sharers.get(now, list_sharers);
                sharers.share(&self.own_instance, process, limit)
            })
        })
    }

    /// Records an attempt that is sent to an upstream; `is_extra` is whether it is a hedge or a retry.
    pub(crate) fn record_send(&self, process: &UpstreamProcess, is_extra: bool) {
        let now = self.clock.now();
        self.table
            .with(|table| table.record_send(now, process, is_extra));
    }

    /// Records that an attempt was not sent to the upstream after all.
    pub(crate) fn record_unsent(&self, process: &UpstreamProcess) {
        self.table.with(|table| table.record_unsent(process));
    }

    /// Logs the attempts sent to each upstream with a limit since the last call, and counts them in the metrics. Forgets
    /// limits of which nothing was heard for long.
    pub(crate) fn report_sends(&self) {
        let now = self.clock.now();
        let counts = self.table.with(|table| {
            table.forget_old(now);
            table.take_send_counts()
        });
        metrics::gauge!("anvilhub_limited_upstreams").set(counts.len() as f64);
        for (process, limit, sends) in counts {
            for (kind, count) in [("first", sends.first), ("extra", sends.extra)] {
                metrics::counter!("anvilhub_limited_sends_total", "kind" => kind)
                    .increment(u64::from(count));
            }
            info!(
                upstream:% = process.id, limit_per_s = limit.get(), first = sends.first, extra = sends.extra;
                "sends to a limited upstream"
            );
        }
    }
}

/// Logs a change of the limit of an upstream. `source` is who told this instance.
fn log_change(process: &UpstreamProcess, change: Option<LimitChange>, source: &'static str) {
    if let Some(change) = change {
        info!(
            upstream:% = process.id, limit_per_s:? = change.limit.map(CallRate::get),
            before:? = change.before.map(CallRate::get), source;
            "upstream limit changed"
        );
    }
}
