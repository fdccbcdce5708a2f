use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::CallRate;
use crate::time::ClockTime;

use super::{ColdWindow, SendPermit, UpstreamProcess, WarmupBound, WarmupChange, WarmupReport};

/// How long a share is used before it is computed again from the instances that are known then.
const SHARE_LIFETIME: Duration = Duration::from_millis(200);
/// Time after an answer that states a warm-up, within which a report without one does not end it. The report may have
/// been written before the answer, and is on its way for up to some seconds.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(3);
/// Time after a warm-up in which the limit doubles once. Within it the requests that are added are answered and raise the
/// measured cost of the upstream.
const RAMP_STEP: Duration = Duration::from_secs(1);
/// Number of doublings after a warm-up, after which there is no limit.
const RAMP_STEPS: u32 = 4;
/// Wait that a caller is told if this instance has no share: the time in which each share may be used once.
const NO_SHARE_WAIT: Duration = Duration::from_secs(1);

/// The upstreams that are cold, and what this instance may send to them.
///
/// Designed for all upstreams of a failure domain that become cold at the same moment, beside a burst of callers at
/// hundreds of instances, and for a fleet that is split in two meanwhile.
#[derive(Clone, Debug)]
pub struct WarmupTable {
    bound: WarmupBound,
    /// The last report of each listed upstream.
    reports: HashMap<UpstreamProcess, KnownReport>,
    /// The upstreams that are cold, or were until a moment ago.
    cold: BTreeMap<UpstreamProcess, ColdUpstream>,
    /// Number of times since the last call of `take_withheld_count` that a cold upstream could not be used.
    withheld_count: u64,
}

#[derive(Clone, Debug)]
struct KnownReport {
    report: WarmupReport,
    /// The highest number of a report so far. The last report has a lower one after the platform was restored from a copy.
    max_number: u64,
}

#[derive(Clone, Debug)]
struct ColdUpstream {
    ends_at: ClockTime,
    /// Whether the end of the warm-up was reported.
    is_end_known: bool,
    /// When an answer last stated the warm-up.
    answered_at: Option<ClockTime>,
    window: ColdWindow,
    /// When the share of this instance was computed; `None` before the first time.
    shared_at: Option<ClockTime>,
}

impl ColdUpstream {
    fn is_cold(&self, now: ClockTime) -> bool {
        now < self.ends_at
    }

    /// Returns the number of requests a second for all instances; `None` if there is no limit any more.
    fn request_count(&self, now: ClockTime, cold_count: u32) -> Option<u32> {
        if self.is_cold(now) {
            return Some(cold_count);
        }
        let step = now.since(self.ends_at).as_millis() / RAMP_STEP.as_millis();
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        (step < RAMP_STEPS).then(|| cold_count.saturating_mul(2_u32.pow(step + 1)))
    }
}

impl WarmupTable {
    /// Creates a table without cold upstreams.
    pub fn new(bound: WarmupBound) -> Self {
        Self {
            bound,
            reports: HashMap::new(),
            cold: BTreeMap::new(),
            withheld_count: 0,
        }
    }

    /// Replaces the list of upstreams; returns which warm-ups begin and end. A report that was known already does not
    /// begin the time of its warm-up again, and an older one than the known one does not end a warm-up.
    pub fn record_reports(
        &mut self,
        now: ClockTime,
        reports: impl IntoIterator<Item = WarmupReport>,
    ) -> Vec<WarmupChange> {
        let mut known = std::mem::take(&mut self.reports);
        let mut changes = Vec::new();
        for report in reports {
            let process = report.process.clone();
            let left = report.left;
            let last = known.remove(&process);
            let max_number = last.as_ref().map(|last| last.max_number);
            let is_known = last.is_some_and(|last| last.report.number == report.number);
            let is_newer = max_number.is_none_or(|max_number| report.number > max_number);
            let known_report = KnownReport {
                max_number: report.number.max(max_number.unwrap_or_default()),
                report,
            };
            self.reports.insert(process.clone(), known_report);
            let change = match left.is_zero() {
                _ if is_known => None,
                false => self.begin(now, &process, left, is_newer),
                true if is_newer && !self.is_answer_recent(now, &process) => {
                    self.end(now, &process)
                }
                true => None,
            };
            changes.extend(change);
        }
        let reports = &self.reports;
        self.cold.retain(|process, _| reports.contains_key(process));
        changes
    }

    /// Records that an answer of `process` states that it stays cold for `left`, zero if it is not cold; returns the
    /// change, if there is one.
    pub fn record_answer(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        left: Duration,
    ) -> Option<WarmupChange> {
        if left.is_zero() {
            return self.end(now, process);
        }
        let change = self.begin(now, process, left, true);
        if let Some(cold) = self.cold.get_mut(process) {
            cold.answered_at = Some(now);
        }
        change
    }

    /// Returns whether a request may be placed at `process`. `compute_share` returns how many of a number of requests a
    /// second this instance may send.
    pub fn permit(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        compute_share: impl FnOnce(u32) -> u32,
    ) -> SendPermit {
        let Some(cold) = self.limited(now, process, compute_share) else {
            return SendPermit::Unlimited;
        };
        let wait = cold.window.wait(now).unwrap_or(NO_SHARE_WAIT);
        if wait.is_zero() {
            return SendPermit::Granted;
        }
        self.withheld_count += 1;
        SendPermit::Denied { wait }
    }

    /// Keeps room for a request that is placed at `process`.
    pub fn reserve(&mut self, now: ClockTime, process: &UpstreamProcess) {
        if let Some(cold) = self.cold.get_mut(process) {
            cold.window.reserve(now);
        }
    }

    /// Gives back the room of a request that was placed and not sent.
    pub fn release(&mut self, process: &UpstreamProcess) {
        if let Some(cold) = self.cold.get_mut(process) {
            cold.window.release();
        }
    }

    /// Records that a request is sent to `process` now, if there is room for it; returns whether there is.
    pub fn try_send(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        compute_share: impl FnOnce(u32) -> u32,
    ) -> bool {
        self.limited(now, process, compute_share)
            .is_none_or(|cold| cold.window.try_send(now))
    }

    /// Records that a request did not reach the upstream although `try_send` returned true for it at `sent_at`. It counts as
    /// placed again.
    pub fn retract(&mut self, sent_at: ClockTime, process: &UpstreamProcess) {
        if let Some(cold) = self.cold.get_mut(process) {
            cold.window.retract(sent_at);
        }
    }

    /// Returns whether `process` is cold and its service states a bound.
    pub fn is_cold(&self, now: ClockTime, process: &UpstreamProcess) -> bool {
        let cold = self.cold.get(process);
        cold.is_some_and(|cold| cold.is_cold(now)) && self.cold_rate(process).is_some()
    }

    /// Returns the number of cold upstreams whose service states a bound.
    pub fn cold_count(&self, now: ClockTime) -> usize {
        let processes = self.cold.keys();
        processes
            .filter(|process| self.is_cold(now, process))
            .count()
    }

    /// Returns the warm-ups whose time has ended since the last call, and forgets those after which the limit was lifted.
    pub fn take_ended(&mut self, now: ClockTime) -> Vec<WarmupChange> {
        self.cold
            .retain(|_, cold| cold.request_count(now, 1).is_some());
        let ended: Vec<_> = self
            .cold
            .iter_mut()
            .filter(|(_, cold)| !cold.is_cold(now) && !cold.is_end_known)
            .map(|(process, cold)| {
                cold.is_end_known = true;
                process.clone()
            })
            .collect();
        let changes = ended.into_iter().map(|process| self.change(process, None));
        changes.collect()
    }

    /// Returns the number of times since the last call that a cold upstream could not be used.
    pub fn take_withheld_count(&mut self) -> u64 {
        std::mem::take(&mut self.withheld_count)
    }

    /// Returns the upstream with its present share if it has a limit.
    fn limited(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        compute_share: impl FnOnce(u32) -> u32,
    ) -> Option<&mut ColdUpstream> {
        // Without cold upstreams, nothing more than this is done for each request.
        if self.cold.is_empty() {
            return None;
        }
        let cold_rate = self.cold_rate(process)?;
        let cold = self.cold.get_mut(process)?;
        let count = cold.request_count(now, self.bound.request_count(cold_rate))?;
        if cold
            .shared_at
            .is_none_or(|shared_at| now.since(shared_at) >= SHARE_LIFETIME)
        {
            cold.window.set_share(now, compute_share(count));
            cold.shared_at = Some(now);
        }
        Some(cold)
    }

    /// Begins a warm-up, or changes when it ends. An older report than the known one may only make it longer.
    fn begin(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        left: Duration,
        is_newer: bool,
    ) -> Option<WarmupChange> {
        let report = &self.reports.get(process)?.report;
        let ends_at = now + report.max_left.map_or(left, |max_left| left.min(max_left));
        let was_cold = self.is_warming_up(now, process);
        let cold = self
            .cold
            .entry(process.clone())
            .or_insert_with(|| ColdUpstream {
                ends_at,
                is_end_known: false,
                answered_at: None,
                window: ColdWindow::new(now),
                shared_at: None,
            });
        cold.ends_at = match is_newer {
            true => ends_at,
            false => ends_at.max(cold.ends_at),
        };
        if was_cold {
            return None;
        }
        cold.is_end_known = false;
        cold.shared_at = None;
        Some(self.change(process.clone(), Some(ends_at.since(now))))
    }

    fn end(&mut self, now: ClockTime, process: &UpstreamProcess) -> Option<WarmupChange> {
        if !self.is_warming_up(now, process) {
            return None;
        }
        let cold = self.cold.get_mut(process)?;
        cold.ends_at = now;
        cold.is_end_known = true;
        Some(self.change(process.clone(), None))
    }

    fn change(&self, process: UpstreamProcess, left: Option<Duration>) -> WarmupChange {
        WarmupChange {
            cold_rate: self.cold_rate(&process),
            process,
            left,
        }
    }

    fn cold_rate(&self, process: &UpstreamProcess) -> Option<CallRate> {
        let report = &self.reports.get(process)?.report;
        report.cold_rate.filter(|rate| rate.get() > 0.0)
    }

    fn is_warming_up(&self, now: ClockTime, process: &UpstreamProcess) -> bool {
        let cold = self.cold.get(process);
        cold.is_some_and(|cold| cold.is_cold(now))
    }

    fn is_answer_recent(&self, now: ClockTime, process: &UpstreamProcess) -> bool {
        let answered_at = self.cold.get(process).and_then(|cold| cold.answered_at);
        answered_at.is_some_and(|answered_at| now.since(answered_at) < MAX_REPORT_DELAY)
    }
}
