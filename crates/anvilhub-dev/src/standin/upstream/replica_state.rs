use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{
    HealthReport, LoadReport, RefusalMark, RefusalReason, SubAnswer, SubRefusal, SubRequest,
};
use anvilhub_coord::ids::{RequestId, SnapshotId, UpstreamId};
use anvilhub_coord::keyspace::KeyRange;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::report_history::{ReportHistory, ReportSample};
use super::service_time_sampler::ServiceTimeSampler;
use super::{EffectRecord, FaultKind, InjectedFault, ReplicaSettings, RequestCounts, SilenceMode};

/// The mutable state of a replica, protected by one lock.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) settings: ReplicaSettings,
    /// End of the time for which sub-requests are refused with reason `cold`.
    pub(crate) cold_until: Option<Instant>,
    pub(crate) drain_plan: Option<DrainPlan>,
    pub(crate) silence_plan: Option<SilencePlan>,
    /// Faults for the next answers, in the order of injection.
    pub(crate) faults: VecDeque<InjectedFault>,
    /// The previous answer, for answers with the request id of another request.
    pub(crate) last_answer: Option<SubAnswer>,
    pub(crate) counts: RequestCounts,
    pub(crate) effects: BTreeMap<RequestId, EffectRecord>,
    pub(crate) sampler: ServiceTimeSampler,
    /// Number of open connections.
    pub(crate) open_connections: u32,
    held_snapshots: Vec<SnapshotId>,
    /// Number of sub-requests that have a slot.
    running_count: u32,
    /// Number of sub-requests that wait for a slot.
    queued_count: u32,
    slot_waiters: VecDeque<oneshot::Sender<()>>,
    cancel_signals: HashMap<RequestId, Arc<Notify>>,
    report_history: ReportHistory,
}

/// The times at which a draining replica starts to refuse sub-requests, and at which it closes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPlan {
    pub(crate) refuse_at: Instant,
    pub(crate) close_at: Instant,
}

/// Silences all connections with a number below `first_unaffected_number`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilencePlan {
    pub(crate) first_unaffected_number: u64,
    pub(crate) mode: SilenceMode,
}

/// A sub-request that has a slot or is queued for one.
pub(crate) struct AdmittedRequest {
    /// The snapshot to search.
    pub(crate) snapshot: SnapshotId,
    /// Notified when the sub-request is cancelled.
    pub(crate) cancel_signal: Arc<Notify>,
    /// Receives the slot; `None` if the sub-request already has one.
    pub(crate) slot_grant: Option<oneshot::Receiver<()>>,
}

impl ReplicaState {
    pub(crate) fn new(id: &UpstreamId, settings: ReplicaSettings) -> Self {
        Self {
            settings,
            cold_until: None,
            drain_plan: None,
            silence_plan: None,
            faults: VecDeque::new(),
            last_answer: None,
            counts: RequestCounts::default(),
            effects: BTreeMap::new(),
            sampler: ServiceTimeSampler::new(id.as_str()),
            open_connections: 0,
            held_snapshots: vec![SnapshotId(1)],
            running_count: 0,
            queued_count: 0,
            slot_waiters: VecDeque::new(),
            cancel_signals: HashMap::new(),
            report_history: ReportHistory::default(),
        }
    }

    /// Assigns a slot to a sub-request or adds it to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the replica refuses the sub-request.
    pub(crate) fn admit(
        &mut self,
        request: &SubRequest,
        now: Instant,
    ) -> Result<AdmittedRequest, RefusalReason> {
        let snapshot = self.check_request(request, now)?;
        let slot_grant = match self.running_count < self.settings.slots {
            true => {
                self.running_count += 1;
                None
            }
            false => {
                let (sender, receiver) = oneshot::channel();
                self.slot_waiters.push_back(sender);
                self.queued_count += 1;
                Some(receiver)
            }
        };
        let cancel_signal = Arc::new(Notify::new());
        self.cancel_signals
            .insert(request.request_id.clone(), Arc::clone(&cancel_signal));
        Ok(AdmittedRequest {
            snapshot,
            cancel_signal,
            slot_grant,
        })
    }

    /// Returns the snapshot to search.
    ///
    /// # Errors
    ///
    /// Returns the reason if the replica refuses the sub-request.
    fn check_request(
        &mut self,
        request: &SubRequest,
        now: Instant,
    ) -> Result<SnapshotId, RefusalReason> {
        if self.drain_plan.is_some_and(|plan| plan.refuse_at <= now) {
            return Err(RefusalReason::Draining);
        }
        if self.is_cold(now) {
            return Err(RefusalReason::Cold);
        }
        if request.deadline_ms == 0 {
            return Err(RefusalReason::Deadline);
        }
        let newest = self.held_snapshots.last().copied();
        let snapshot = request
            .snapshot
            .or(newest)
            .filter(|snapshot| self.held_snapshots.contains(snapshot))
            .ok_or(RefusalReason::SnapshotNotHeld)?;
        let is_full = self.running_count >= self.settings.slots
            && self.queued_count >= self.settings.max_queued;
        if is_full || self.sampler.draw_shed(&self.settings) {
            return Err(RefusalReason::Shed);
        }
        Ok(snapshot)
    }

    /// Counts a sub-request as no longer queued.
    pub(crate) fn leave_queue(&mut self) {
        self.queued_count = self.queued_count.saturating_sub(1);
    }

    /// Releases a slot and grants it to the next waiting sub-request.
    pub(crate) fn release_slot(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
        self.grant_slots();
    }

    /// Grants free slots to waiting sub-requests in order of arrival.
    pub(crate) fn grant_slots(&mut self) {
        while self.running_count < self.settings.slots {
            let Some(waiter) = self.slot_waiters.pop_front() else {
                return;
            };
            if waiter.send(()).is_ok() {
                self.running_count += 1;
            }
        }
    }

    /// Cancels a sub-request. Returns whether it was running or queued.
    pub(crate) fn cancel(&mut self, request: &RequestId) -> bool {
        match self.cancel_signals.get(request) {
            Some(cancel_signal) => {
                cancel_signal.notify_one();
                self.counts.cancelled += 1;
                true
            }
            None => {
                self.counts.cancel_missed += 1;
                false
            }
        }
    }

    /// Removes the cancel signal of a sub-request that has ended.
    pub(crate) fn remove_cancel_signal(&mut self, request: &RequestId, ended: &Arc<Notify>) {
        // A resent sub-request with the same id may have replaced the signal.
        let is_same = |signal: &Arc<Notify>| Arc::ptr_eq(signal, ended);
        if self.cancel_signals.get(request).is_some_and(is_same) {
            self.cancel_signals.remove(request);
        }
    }

    /// Records that a sub-request ran, and its effect if it is not idempotent.
    pub(crate) fn record_execution(&mut self, id: &UpstreamId, request: &SubRequest) {
        self.counts.ran += 1;
        if request.idempotent {
            return;
        }
        self.effects
            .entry(request.request_id.clone())
            .or_insert_with(|| EffectRecord::new(id, request))
            .count += 1;
    }

    /// Builds the answer to `request` for the part of its range that the replica holds.
    pub(crate) fn build_answer(&self, request: &SubRequest, snapshot: SnapshotId) -> SubAnswer {
        let requested_range = match request.key {
            Some(key) => KeyRange::single(key),
            None => KeyRange::new(request.start, request.end),
        };
        let range = self.settings.range().intersection(requested_range);
        let stride = self.settings.row_stride;
        SubAnswer {
            request_id: request.request_id.clone(),
            snapshot,
            start: range.start,
            end: range.end,
            rows: super::generate_rows(range, stride, snapshot, &request.query),
            held: self.held_snapshots.clone(),
            draining: self.drain_plan.is_some(),
            // The sub-request of this answer still has its slot and is not counted.
            in_flight: Some((self.running_count + self.queued_count).saturating_sub(1)),
        }
    }

    /// Counts a refusal and builds its answer.
    pub(crate) fn record_refusal(
        &mut self,
        request: &RequestId,
        reason: RefusalReason,
    ) -> SubRefusal {
        *self.counts.refused.entry(reason).or_default() += 1;
        SubRefusal {
            request_id: request.clone(),
            outcome: RefusalMark::NotRun,
            reason,
            held: self.held_snapshots.clone(),
            draining: self.drain_plan.is_some(),
        }
    }

    /// Returns the next fault and reduces its count by one. Returns `None` if there is no fault or `matches` rejects
    /// its kind.
    pub(crate) fn take_fault_if(
        &mut self,
        matches: impl Fn(FaultKind) -> bool,
    ) -> Option<InjectedFault> {
        let fault = self
            .faults
            .front_mut()
            .filter(|fault| matches(fault.kind))?;
        let taken = fault.clone();
        fault.count = fault.count.saturating_sub(1);
        if fault.count == 0 {
            self.faults.pop_front();
        }
        self.counts.faulty += 1;
        Some(taken)
    }

    pub(crate) fn publish_snapshot(&mut self, snapshot: SnapshotId) {
        self.held_snapshots.push(snapshot);
        self.held_snapshots.sort_unstable();
        self.held_snapshots.dedup();
        let excess = self
            .held_snapshots
            .len()
            .saturating_sub(self.settings.max_held_snapshots);
        self.held_snapshots.drain(..excess);
    }

    pub(crate) fn drop_snapshot(&mut self, snapshot: SnapshotId) {
        self.held_snapshots.retain(|held| *held != snapshot);
    }

    pub(crate) fn roll_back(&mut self, snapshot: SnapshotId) {
        self.held_snapshots.retain(|held| *held < snapshot);
        self.publish_snapshot(snapshot);
    }

    /// Returns what the connection with this number loses, or `None` if it is not silent.
    pub(crate) fn silence_mode(&self, connection: u64) -> Option<SilenceMode> {
        self.silence_plan
            .filter(|plan| connection < plan.first_unaffected_number)
            .map(|plan| plan.mode)
    }

    /// Records the current reports if the endpoints are set to report old data.
    pub(crate) fn record_reports(&mut self, now: Instant) {
        if self.settings.report_lag_ms > 0 {
            let sample = self.current_reports(now);
            self.report_history.record(sample);
        }
    }

    /// Returns the reports that the health and load endpoints show at `now`, before overrides.
    pub(crate) fn lagged_reports(&self, now: Instant) -> ReportSample {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.report_history
            .lagged_sample(self.current_reports(now), lag)
    }

    fn current_reports(&self, now: Instant) -> ReportSample {
        let draining = self.drain_plan.is_some();
        ReportSample {
            at: now,
            health: HealthReport {
                ok: !self.is_cold(now),
                draining,
            },
            load: LoadReport {
                in_flight: self.running_count,
                queued: self.queued_count,
                held: self.held_snapshots.clone(),
                start: self.settings.start,
                end: self.settings.end,
                draining,
            },
        }
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}
