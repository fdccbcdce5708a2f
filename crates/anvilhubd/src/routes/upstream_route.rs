use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{
    LoadReport as LoadDocument, RefusalReason, SubAnswer, SubRefusal,
};
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{LeavingSignal, LoadReport, UpstreamLoad, UpstreamView};
use anvilhub_coord::sheet::ReplicaSpec;
use anvilhub_coord::time::ClockTime;

use super::RouteCell;

/// Time after a new process took an upstream's place in which peers may still speak of the old one: they poll
/// once a second and tell with the next exchange.
const NEWS_LAG: Duration = Duration::from_secs(5);
/// Age up to which an answer's statement of the held snapshots outweighs a load report, which may lag.
const STATEMENT_AGE: Duration = Duration::from_secs(2);

/// What this instance knows about an upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub(crate) view: UpstreamView,
    /// Snapshots of its latest statement.
    pub(crate) held: Option<Vec<SnapshotId>>,
    /// When an answer or a refusal last stated what it holds.
    pub(crate) stated: Option<ClockTime>,
    /// Keys of its latest load report.
    pub(crate) range: Option<KeyRange>,
    /// When its load was last asked for.
    pub(crate) polled: Option<ClockTime>,
    /// Whether its process was seen to be gone after it was leaving.
    pub(crate) gone: bool,
    /// When another process was seen to have taken its place.
    pub(crate) replaced: Option<ClockTime>,
}

impl UpstreamState {
    fn may_hold(&self, snapshot: Option<SnapshotId>) -> bool {
        match (snapshot, &self.held) {
            (Some(snapshot), Some(held)) => held.contains(&snapshot),
            _ => true,
        }
    }
}

/// One upstream of a shard, with state that outlives a change of the sheet.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRoute {
    pub(crate) spec: ReplicaSpec,
    pub(crate) state: Arc<RouteCell<UpstreamState>>,
}

impl UpstreamRoute {
    /// Takes over the state of `previous` when it has the same address: another one is another process.
    pub(crate) fn new(spec: &ReplicaSpec, previous: Option<&Self>) -> Self {
        let state = previous
            .filter(|previous| previous.spec.address == spec.address)
            .map_or_else(Arc::default, |previous| Arc::clone(&previous.state));
        Self {
            spec: spec.clone(),
            state,
        }
    }

    pub(crate) fn load(&self, now: ClockTime) -> UpstreamLoad {
        self.state.with(|state| state.view.load(now))
    }

    pub(crate) fn held(&self) -> Option<Vec<SnapshotId>> {
        self.state.with(|state| state.held.clone())
    }

    /// Says whether the upstream holds `snapshot` as far as is known.
    pub(crate) fn may_hold(&self, snapshot: Option<SnapshotId>) -> bool {
        self.state.with(|state| state.may_hold(snapshot))
    }

    pub(crate) fn reported_range(&self) -> Option<KeyRange> {
        self.state.with(|state| state.range)
    }

    /// Marks the upstream as leaving, unless a peer speaks of a process that was replaced.
    pub(crate) fn mark_leaving(&self, now: ClockTime, signal: LeavingSignal) {
        self.state.with(|state| {
            let replaced = state.replaced;
            let is_recent = replaced.is_some_and(|replaced| now.since(replaced) < NEWS_LAG);
            if signal != LeavingSignal::Peer || !is_recent {
                state.view.mark_leaving(now, signal);
            }
        });
    }

    /// Notes that the instance list names the upstream as live.
    pub(crate) fn mark_listed(&self) {
        self.state.with(|state| state.view.clear_listed_leaving());
    }

    pub(crate) fn leaving(&self) -> Option<LeavingSignal> {
        self.state.with(|state| state.view.leaving_signal())
    }

    /// Takes in the answer to a sub-request that was sent at `sent`.
    pub(crate) fn answered(&self, now: ClockTime, sent: ClockTime, answer: &SubAnswer) {
        let load = LoadReport {
            in_flight: answer.in_flight.unwrap_or_default(),
            is_draining: answer.draining,
            ..LoadReport::default()
        };
        self.state.with(|state| {
            state.view.record_answer(now, now.since(sent), load);
            state.held = Some(answer.held.clone());
            state.stated = Some(now);
        });
    }

    /// Takes in a refusal. A cold upstream refuses everything for a while, so it is ejected at once: refusals
    /// would use up the retry budget otherwise.
    pub(crate) fn refused(&self, now: ClockTime, refusal: &SubRefusal) {
        let draining = refusal.draining || refusal.reason == RefusalReason::Draining;
        let load = LoadReport {
            is_draining: draining,
            ..LoadReport::default()
        };
        self.state.with(|state| {
            state.view.record_refusal(now, load);
            if states_held(refusal) {
                state.held = Some(refusal.held.clone());
                state.stated = Some(now);
            }
            if refusal.reason == RefusalReason::Cold && !state.view.is_ejected(now) {
                state.view.eject(now);
            }
        });
    }

    /// Takes in a load report. After the process was gone, a report means that another one took its place.
    pub(crate) fn reported(&self, now: ClockTime, report: &LoadDocument) {
        let load = LoadReport {
            in_flight: report.in_flight.saturating_add(report.queued),
            is_draining: report.draining,
            ..LoadReport::default()
        };
        self.state.with(|state| {
            if state.gone && !report.draining {
                state.view.reset();
                state.gone = false;
                state.replaced = Some(now);
            }
            state.view.record_report(now, load);
            if state
                .stated
                .is_none_or(|stated| now.since(stated) >= STATEMENT_AGE)
            {
                state.held = Some(report.held.clone());
            }
            state.range = Some(KeyRange::new(report.start, report.end));
        });
    }

    /// Says whether it was leaving and nothing listens at its address any more.
    pub(crate) fn is_gone(&self) -> bool {
        self.state.with(|state| state.gone)
    }

    /// Notes that nothing listens at its address.
    pub(crate) fn absent(&self) {
        self.state
            .with(|state| state.gone |= state.view.leaving_signal().is_some());
    }
}

/// Says whether a refusal states what its upstream holds; the statement is optional.
pub(crate) fn states_held(refusal: &SubRefusal) -> bool {
    !refusal.held.is_empty() || refusal.reason == RefusalReason::SnapshotNotHeld
}
