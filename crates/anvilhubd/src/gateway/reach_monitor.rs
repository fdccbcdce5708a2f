use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::{ReachChange, ReachState};
use futures_util::future::join_all;
use log::{info, warn};
use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::{Gateway, TrackedUpstream};

/// Maximum number of upstreams that are probed at once.
const MAX_PROBES: usize = 4;
/// Maximum time of a probe: several round trips between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum pause between two looks at whether probes are due. An attempt that begins in a pause makes none due before it
/// ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Whether this instance reaches the upstreams, as the request path has seen it. Logs what changes.
pub(super) struct ReachMonitor {
    clock: DaemonClock,
    state: LockCell<ReachState>,
    is_cut_off: watch::Sender<bool>,
    /// Wakes the probes after a failure.
    failed: Notify,
}

/// Counts an attempt as in flight until it is dropped.
pub(super) struct ReachWait<'a> {
    monitor: &'a ReachMonitor,
}

impl Drop for ReachWait<'_> {
    fn drop(&mut self) {
        self.monitor.state.with(ReachState::record_end);
    }
}

impl ReachMonitor {
    pub(super) fn new(clock: DaemonClock) -> Self {
        Self {
            clock,
            state: LockCell::default(),
            is_cut_off: watch::channel(false).0,
            failed: Notify::new(),
        }
    }

    /// Records that an attempt begins. It ends when the returned guard is dropped.
    pub(super) fn record_send(&self) -> ReachWait<'_> {
        let now = self.clock.now();
        self.state.with(|state| state.record_send(now));
        ReachWait { monitor: self }
    }

    /// Records that an upstream has answered.
    pub(super) fn record_answer(&self) {
        let now = self.clock.now();
        let change = self.state.with(|state| state.record_contact(now));
        self.report_change(change);
    }

    /// Records that a connection to an upstream was opened.
    pub(super) fn record_open(&self) {
        let now = self.clock.now();
        let change = self.state.with(|state| state.record_open(now));
        self.report_change(change);
    }

    /// Records that a connection to an upstream could not be opened.
    pub(super) fn record_open_failure(&self) {
        let now = self.clock.now();
        self.state.with(|state| state.record_open_failure(now));
        self.failed.notify_one();
    }

    /// Returns whether this instance reaches no upstream.
    pub(super) fn is_cut_off(&self) -> bool {
        *self.is_cut_off.borrow()
    }

    /// Returns whether this instance may reach no upstream: what it sends now may be lost.
    pub(super) fn is_in_doubt(&self) -> bool {
        let now = self.clock.now();
        self.state.with(|state| state.is_in_doubt(now))
    }

    /// Returns whether new connections to upstreams have failed lately.
    pub(super) fn is_open_doubtful(&self) -> bool {
        let now = self.clock.now();
        self.state.with(|state| state.is_open_doubtful(now))
    }

    /// Returns whether a request is to go through another instance.
    pub(super) fn prefers_relay(&self) -> bool {
        let now = self.clock.now();
        self.state
            .with(|state| state.prefers_relay(now, rand::random()))
    }

    /// Waits until this instance reaches no upstream.
    pub(super) async fn wait_cut_off(&self) {
        let mut is_cut_off = self.is_cut_off.subscribe();
        // The sender lives as long as `self`.
        let _ = is_cut_off.wait_for(|is_cut_off| *is_cut_off).await;
    }

    /// Returns the time until the next look at whether probes are due.
    fn next_pause(&self) -> Duration {
        let now = self.clock.now();
        let due_at = self.state.with(|state| state.next_probes_at(now));
        due_at.map_or(LOOK_INTERVAL, |due_at| due_at.since(now).min(LOOK_INTERVAL))
    }

    /// Probes upstreams whenever there is reason to, until the process ends.
    pub(super) async fn run(gateway: Arc<Gateway>) {
        let monitor = &gateway.reach;
        loop {
            tokio::select! {
                () = sleep(monitor.next_pause()) => {}
                () = monitor.failed.notified() => {}
            }
            // An answer may have ended a cut since the last look, with no probe.
            gateway.fleet.set_own_cut_off(monitor.is_cut_off());
            let began_at = monitor.clock.now();
            if !monitor.state.with(|state| state.begin_probes(began_at)) {
                continue;
            }
            let upstreams = choose_probed(&gateway);
            let reached = join_all(upstreams.iter().map(|upstream| is_reached(upstream))).await;
            let reached_count = reached.iter().filter(|is_reached| **is_reached).count();
            metrics::counter!("anvilhub_reach_probes_total").increment(upstreams.len() as u64);
            let now = monitor.clock.now();
            let change = monitor
                .state
                .with(|state| state.record_probes(now, began_at, upstreams.len(), reached_count));
            monitor.report_change(change);
            gateway.fleet.set_own_cut_off(monitor.is_cut_off());
        }
    }

    /// Logs a change and updates the metric.
    fn report_change(&self, change: Option<ReachChange>) {
        let is_cut_off = match change {
            None => return,
            Some(ReachChange::CutOff) => {
                warn!(dependency = "upstreams"; "this instance reaches no upstream; its requests go through other instances");
                true
            }
            Some(ReachChange::Returned { after }) => {
                info!(
                    dependency = "upstreams", cut_off_ms = after.as_millis() as u64;
                    "this instance reaches upstreams again"
                );
                false
            }
        };
        self.is_cut_off.send_replace(is_cut_off);
        metrics::gauge!("anvilhub_cut_off").set(f64::from(u8::from(is_cut_off)));
    }
}

/// Chooses the upstreams to probe: at random, first those that have not failed.
fn choose_probed(gateway: &Gateway) -> Vec<Arc<TrackedUpstream>> {
    let groups = gateway.groups.load();
    let now = gateway.clock.now();
    let grace_period = gateway.settings.leaving_grace_period;
    let mut upstreams: Vec<Arc<TrackedUpstream>> = groups
        .values()
        .flat_map(|group| &group.upstreams)
        .filter(|upstream| upstream.is_staying(now, grace_period))
        .cloned()
        .collect();
    upstreams.shuffle(&mut rand::rng());
    upstreams.sort_by_key(|upstream| upstream.stats.with(|stats| stats.has_failed()));
    upstreams.truncate(MAX_PROBES);
    upstreams
}

/// Returns whether a connection to the upstream can be opened.
async fn is_reached(upstream: &TrackedUpstream) -> bool {
    let connecting = TcpStream::connect(upstream.record.address);
    matches!(timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)))
}
