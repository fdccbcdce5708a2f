use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{
    LoadReport as LoadDocument, RefusalReason, SubAnswer, SubRefusal,
};
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{LeavingSignal, ReportedLoad, UpstreamLoad, UpstreamView};
use anvilhub_coord::sheet::ReplicaSpec;
use anvilhub_coord::time::ClockTime;

use super::LockCell;

/// Time after the replacement of an upstream's process during which peers may still report that the old process is
/// leaving: they poll once a second and report with their next exchange.
const PEER_REPORT_LAG: Duration = Duration::from_secs(5);
/// Age up to which the held snapshots in an answer take precedence over those in a load report, which may lag.
const MAX_HELD_SNAPSHOTS_AGE: Duration = Duration::from_secs(2);

/// What this instance knows about an upstream.
#[derive(Debug, Default)]
pub(crate) struct ObservedState {
    pub(crate) view: UpstreamView,
    /// Snapshots that the upstream holds, by its latest answer, refusal or load report.
    pub(crate) held_snapshots: Option<Vec<SnapshotId>>,
    /// Time of the last answer or refusal that named the held snapshots.
    pub(crate) held_snapshots_at: Option<ClockTime>,
    /// Key range of the latest load report.
    pub(crate) reported_range: Option<KeyRange>,
    /// When the load report was last requested.
    pub(crate) polled_at: Option<ClockTime>,
    /// Whether the upstream was leaving and nothing listened at its address afterwards.
    pub(crate) has_ended: bool,
    /// When a new process was first seen at the address.
    pub(crate) replaced_at: Option<ClockTime>,
}

impl ObservedState {
    fn may_hold(&self, snapshot: Option<SnapshotId>) -> bool {
        match (snapshot, &self.held_snapshots) {
            (Some(snapshot), Some(held)) => held.contains(&snapshot),
            _ => true,
        }
    }
}

/// One upstream of a shard, with the state that is kept when the sheet changes.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRoute {
    pub(crate) spec: ReplicaSpec,
    pub(crate) state: Arc<LockCell<ObservedState>>,
}

impl UpstreamRoute {
    /// Creates the route, with the state of `previous` when it has the same address. A replica at another address is a
    /// different process.
    pub(crate) fn new(spec: &ReplicaSpec, previous: Option<&Self>) -> Self {
        let state = previous
            .filter(|previous| previous.spec.address == spec.address)
            .map_or_else(Arc::default, |previous| Arc::clone(&previous.state));
        Self {
            spec: spec.clone(),
            state,
        }
    }

    /// Returns the load and the health of the upstream as this instance knows them.
    pub(crate) fn current_load(&self, now: ClockTime) -> UpstreamLoad {
        self.state.with(|state| state.view.load(now))
    }

    /// Returns the snapshots that the upstream last reported as held, `None` before its first report.
    pub(crate) fn held_snapshots(&self) -> Option<Vec<SnapshotId>> {
        self.state.with(|state| state.held_snapshots.clone())
    }

    /// Returns whether the upstream may hold `snapshot`: its last report names it, or it has sent no report yet.
    pub(crate) fn may_hold(&self, snapshot: Option<SnapshotId>) -> bool {
        self.state.with(|state| state.may_hold(snapshot))
    }

    /// Returns the key range of the latest load report, `None` before the first one.
    pub(crate) fn reported_range(&self) -> Option<KeyRange> {
        self.state.with(|state| state.reported_range)
    }

    /// Marks the upstream as leaving. A peer's report is ignored for a while after the process was replaced, because it
    /// may be about the old process.
    pub(crate) fn mark_leaving(&self, now: ClockTime, signal: LeavingSignal) {
        self.state.with(|state| {
            let is_recently_replaced = state
                .replaced_at
                .is_some_and(|replaced_at| now.since(replaced_at) < PEER_REPORT_LAG);
            let is_of_peer = matches!(signal, LeavingSignal::Peer | LeavingSignal::PeerReport);
            if !is_of_peer || !is_recently_replaced {
                state.view.mark_leaving(now, signal);
            }
        });
    }

    /// Records that the instance list names the upstream as live.
    pub(crate) fn mark_listed_live(&self) {
        self.state.with(|state| state.view.clear_listed_leaving());
    }

    /// Returns the first signal that the upstream is leaving, `None` when it is not.
    pub(crate) fn leaving_signal(&self) -> Option<LeavingSignal> {
        self.state.with(|state| state.view.leaving_signal())
    }

    /// Records the answer to a sub-request that was sent at `sent_at`.
    pub(crate) fn record_answer(&self, now: ClockTime, sent_at: ClockTime, answer: &SubAnswer) {
        let load = ReportedLoad {
            in_flight: answer.in_flight.unwrap_or_default(),
            is_draining: answer.draining,
            ..ReportedLoad::default()
        };
        self.state.with(|state| {
            state.view.record_answer(now, now.since(sent_at), load);
            state.held_snapshots = Some(answer.held.clone());
            state.held_snapshots_at = Some(now);
        });
    }

    /// Records a refusal. A cold upstream refuses everything for a while, so it is ejected at once: its refusals
    /// would use up the retry budget otherwise.
    pub(crate) fn record_refusal(&self, now: ClockTime, refusal: &SubRefusal) {
        let draining = refusal.draining || refusal.reason == RefusalReason::Draining;
        let load = ReportedLoad {
            is_draining: draining,
            ..ReportedLoad::default()
        };
        self.state.with(|state| {
            state.view.record_refusal(now, load);
            if names_held_snapshots(refusal) {
                state.held_snapshots = Some(refusal.held.clone());
                state.held_snapshots_at = Some(now);
            }
            if refusal.reason == RefusalReason::Cold && !state.view.is_ejected(now) {
                state.view.eject(now);
            }
        });
    }

    /// Records a load report. A report after the process had ended means that a new one has replaced it.
    pub(crate) fn record_load_report(&self, now: ClockTime, report: &LoadDocument) {
        let load = ReportedLoad {
            in_flight: report.in_flight.saturating_add(report.queued),
            is_draining: report.draining,
            ..ReportedLoad::default()
        };
        self.state.with(|state| {
            if state.has_ended && !report.draining {
                state.view.reset();
                state.has_ended = false;
                state.replaced_at = Some(now);
            }
            state.view.record_report(now, load);
            if state
                .held_snapshots_at
                .is_none_or(|named_at| now.since(named_at) >= MAX_HELD_SNAPSHOTS_AGE)
            {
                state.held_snapshots = Some(report.held.clone());
            }
            state.reported_range = Some(KeyRange::new(report.start, report.end));
        });
    }

    /// Returns whether the upstream's process has ended: it was leaving, and nothing listens at its address any more.
    pub(crate) fn has_ended(&self) -> bool {
        self.state.with(|state| state.has_ended)
    }

    /// Records that nothing listens at the upstream's address. If the upstream was leaving, its process counts
    /// as ended from now on.
    pub(crate) fn record_unreachable(&self) {
        self.state
            .with(|state| state.has_ended |= state.view.leaving_signal().is_some());
    }
}

/// Returns whether a refusal names the snapshots that its upstream holds. The list is optional, so an empty list counts
/// only if the upstream refused because it lacks the requested snapshot.
pub(crate) fn names_held_snapshots(refusal: &SubRefusal) -> bool {
    !refusal.held.is_empty() || refusal.reason == RefusalReason::SnapshotNotHeld
}
