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
use super::service_time::ServiceTime;
use super::{AnswerFault, EffectRecord, FaultKind, ReplicaSettings, RequestCounts, SilenceMode};

/// Everything that changes in a replica, under one lock.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) settings: ReplicaSettings,
    pub(crate) cold_until: Option<Instant>,
    pub(crate) drain: Option<DrainPlan>,
    pub(crate) silence: Option<SilencePlan>,
    pub(crate) faults: VecDeque<AnswerFault>,
    pub(crate) last_answer: Option<SubAnswer>,
    pub(crate) counts: RequestCounts,
    pub(crate) effects: BTreeMap<RequestId, EffectRecord>,
    pub(crate) times: ServiceTime,
    /// Connections that are open.
    pub(crate) open: u32,
    held: Vec<SnapshotId>,
    running: u32,
    queued: u32,
    waiting: VecDeque<oneshot::Sender<()>>,
    cancels: HashMap<RequestId, Arc<Notify>>,
    reports: ReportHistory,
}

/// The later phases of a drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPlan {
    pub(crate) refuse_at: Instant,
    pub(crate) close_at: Instant,
}

/// The connections that are silent: those with a number below `below`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilencePlan {
    pub(crate) below: u64,
    pub(crate) mode: SilenceMode,
}

/// A sub-request that the replica took.
pub(crate) struct AdmittedWork {
    pub(crate) snapshot: SnapshotId,
    pub(crate) cancel: Arc<Notify>,
    /// Reports the slot; absent when the work has one already.
    pub(crate) wait: Option<oneshot::Receiver<()>>,
}

impl ReplicaState {
    pub(crate) fn new(id: &UpstreamId, settings: ReplicaSettings) -> Self {
        Self {
            settings,
            cold_until: None,
            drain: None,
            silence: None,
            faults: VecDeque::new(),
            last_answer: None,
            counts: RequestCounts::default(),
            effects: BTreeMap::new(),
            times: ServiceTime::new(id.as_str()),
            open: 0,
            held: vec![SnapshotId(1)],
            running: 0,
            queued: 0,
            waiting: VecDeque::new(),
            cancels: HashMap::new(),
            reports: ReportHistory::default(),
        }
    }

    /// Takes a sub-request into a slot or the queue, or says why not.
    pub(crate) fn admit(
        &mut self,
        request: &SubRequest,
        now: Instant,
    ) -> Result<AdmittedWork, RefusalReason> {
        let snapshot = self.check(request, now)?;
        let wait = match self.running < self.settings.slots {
            true => {
                self.running += 1;
                None
            }
            false => {
                let (grant, wait) = oneshot::channel();
                self.waiting.push_back(grant);
                self.queued += 1;
                Some(wait)
            }
        };
        let cancel = Arc::new(Notify::new());
        self.cancels
            .insert(request.request_id.clone(), Arc::clone(&cancel));
        Ok(AdmittedWork {
            snapshot,
            cancel,
            wait,
        })
    }

    fn check(&mut self, request: &SubRequest, now: Instant) -> Result<SnapshotId, RefusalReason> {
        if self.drain.is_some_and(|plan| plan.refuse_at <= now) {
            return Err(RefusalReason::Draining);
        }
        if self.is_cold(now) {
            return Err(RefusalReason::Cold);
        }
        if request.deadline_ms == 0 {
            return Err(RefusalReason::Deadline);
        }
        let newest = self.held.last().copied();
        let snapshot = request
            .snapshot
            .or(newest)
            .filter(|wanted| self.held.contains(wanted))
            .ok_or(RefusalReason::SnapshotNotHeld)?;
        let is_full = self.running >= self.settings.slots && self.queued >= self.settings.queue;
        if is_full || self.times.draw_shed(&self.settings) {
            return Err(RefusalReason::Shed);
        }
        Ok(snapshot)
    }

    /// Ends the wait for a slot.
    pub(crate) fn leave_queue(&mut self) {
        self.queued = self.queued.saturating_sub(1);
    }

    /// Gives a slot back and grants it to the next sub-request that still waits.
    pub(crate) fn free_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.grant_slots();
    }

    /// Grants free slots in order of arrival.
    pub(crate) fn grant_slots(&mut self) {
        while self.running < self.settings.slots {
            let Some(grant) = self.waiting.pop_front() else {
                return;
            };
            if grant.send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Stops the work on a sub-request, and says whether there was any.
    pub(crate) fn cancel(&mut self, request: &RequestId) -> bool {
        match self.cancels.get(request) {
            Some(cancel) => {
                cancel.notify_one();
                self.counts.cancelled += 1;
                true
            }
            None => {
                self.counts.cancel_missed += 1;
                false
            }
        }
    }

    /// Forgets the cancel signal of work that ended.
    pub(crate) fn forget(&mut self, request: &RequestId, cancel: &Arc<Notify>) {
        let is_same = |known: &Arc<Notify>| Arc::ptr_eq(known, cancel);
        if self.cancels.get(request).is_some_and(is_same) {
            self.cancels.remove(request);
        }
    }

    /// Counts the work as done, and its effect when it is not idempotent.
    pub(crate) fn record_run(&mut self, id: &UpstreamId, request: &SubRequest) {
        self.counts.ran += 1;
        if request.idempotent {
            return;
        }
        self.effects
            .entry(request.request_id.clone())
            .or_insert_with(|| EffectRecord::new(id, request))
            .count += 1;
    }

    /// The answer to `request` from the part of its range that the replica owns.
    pub(crate) fn answer(&self, request: &SubRequest, snapshot: SnapshotId) -> SubAnswer {
        let wanted = match request.key {
            Some(key) => KeyRange::single(key),
            None => KeyRange::new(request.start, request.end),
        };
        let range = self.settings.range().intersection(wanted);
        let stride = self.settings.row_stride;
        SubAnswer {
            request_id: request.request_id.clone(),
            snapshot,
            start: range.start,
            end: range.end,
            rows: super::rows_of(range, stride, snapshot, &request.query),
            held: self.held.clone(),
            draining: self.drain.is_some(),
            // The work that this answer ends has still its slot.
            in_flight: Some((self.running + self.queued).saturating_sub(1)),
        }
    }

    pub(crate) fn refuse(&mut self, request: &RequestId, reason: RefusalReason) -> SubRefusal {
        *self.counts.refused.entry(reason).or_default() += 1;
        SubRefusal {
            request_id: request.clone(),
            outcome: RefusalMark::NotRun,
            reason,
            held: self.held.clone(),
            draining: self.drain.is_some(),
        }
    }

    /// Takes the next fault when `wanted` applies to it.
    pub(crate) fn take_fault(&mut self, wanted: impl Fn(FaultKind) -> bool) -> Option<AnswerFault> {
        let fault = self.faults.front_mut().filter(|fault| wanted(fault.kind))?;
        let taken = fault.clone();
        fault.count = fault.count.saturating_sub(1);
        if fault.count == 0 {
            self.faults.pop_front();
        }
        self.counts.faulty += 1;
        Some(taken)
    }

    pub(crate) fn publish_snapshot(&mut self, snapshot: SnapshotId) {
        self.held.push(snapshot);
        self.held.sort_unstable();
        self.held.dedup();
        let surplus = self.held.len().saturating_sub(self.settings.hold);
        self.held.drain(..surplus);
    }

    pub(crate) fn drop_snapshot(&mut self, snapshot: SnapshotId) {
        self.held.retain(|held| *held != snapshot);
    }

    pub(crate) fn roll_back(&mut self, snapshot: SnapshotId) {
        self.held.retain(|held| *held < snapshot);
        self.publish_snapshot(snapshot);
    }

    /// How the connection with this number is silent, if it is.
    pub(crate) fn silence_of(&self, connection: u64) -> Option<SilenceMode> {
        self.silence
            .filter(|plan| connection < plan.below)
            .map(|plan| plan.mode)
    }

    /// Keeps the present reports for endpoints that lag.
    pub(crate) fn sample_reports(&mut self, now: Instant) {
        if self.settings.report_lag_ms > 0 {
            let sample = self.present_reports(now);
            self.reports.record(sample);
        }
    }

    /// What the health and load endpoints show at `now`, before overrides.
    pub(crate) fn shown_reports(&self, now: Instant) -> ReportSample {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.reports.lagged(self.present_reports(now), lag)
    }

    fn present_reports(&self, now: Instant) -> ReportSample {
        let draining = self.drain.is_some();
        ReportSample {
            at: now,
            health: HealthReport {
                ok: !self.is_cold(now),
                draining,
            },
            load: LoadReport {
                in_flight: self.running,
                queued: self.queued,
                held: self.held.clone(),
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
