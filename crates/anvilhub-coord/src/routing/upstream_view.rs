use std::time::Duration;

use derive_more::Display;

use crate::time::ClockTime;

use super::UpstreamLoad;

/// Weight of a new sample in the latency estimate; about 20 answers replace it.
const LATENCY_WEIGHT: f64 = 0.1;
/// Estimate of an upstream that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(5);
/// Age after which a load observation says nothing, since slots turn over within milliseconds.
const OBSERVATION_AGE: Duration = Duration::from_millis(100);
/// Highest load that reports may add, in sub-requests. Reports can be false, so own evidence outweighs them.
const MOST_REPORTED: f64 = 4.0;
/// Time after the last leaving signal before reports to the contrary are believed. Longer than reports lag and
/// than an upstream usually drains; without it, an upstream that restarts unseen would stay unused forever.
const LEAVING_MEMORY: Duration = Duration::from_secs(120);
/// First ejection; each further one within `EJECTION_MEMORY` doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings after which an ejection becomes no longer: 32 s.
const MOST_DOUBLINGS: u32 = 5;
/// Time after an ejection's end during which a new one is longer.
const EJECTION_MEMORY: Duration = Duration::from_secs(60);

/// Answers in a row that end the trial after an ejection.
const TRIAL_ANSWERS: u32 = 3;

/// The signal that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum LeavingSignal {
    /// The instance list says so.
    #[display("list")]
    List,
    /// An answer carried the `draining` flag.
    #[display("answer")]
    Answer,
    /// A health or load report carried the `draining` flag.
    #[display("report")]
    Report,
    /// The upstream refused a sub-request because it drains.
    #[display("refusal")]
    Refusal,
    /// Another instance saw one of these signals.
    #[display("peer")]
    Peer,
}

/// Load as an answer or a load report states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Sub-requests that the upstream holds, running and queued, of all instances.
    pub in_flight: u32,
    /// Age of the statement when it arrived; zero for answers.
    pub age: Duration,
    /// Whether the upstream drains.
    pub is_draining: bool,
}

/// What one instance knows about one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    in_flight: u32,
    latency_micros: Option<f64>,
    samples: u32,
    failures: u32,
    others: Option<(ClockTime, u32)>,
    leaving: Option<LeavingSignal>,
    leaving_seen: ClockTime,
    ejected_until: Option<ClockTime>,
    ejections: u32,
    trial: u32,
}

impl UpstreamView {
    /// Counts an attempt that is sent now.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an answer that arrived `latency` after sending, with the load that it states.
    pub fn record_answer(&mut self, now: ClockTime, latency: Duration, load: LoadReport) {
        self.finish();
        self.failures = 0;
        self.trial = self.trial.saturating_sub(1);
        self.add_sample(latency);
        self.observe(now, load, LeavingSignal::Answer);
    }

    /// Counts a `not_run` answer.
    pub fn record_refusal(&mut self, now: ClockTime, load: LoadReport) {
        self.finish();
        self.failures = 0;
        self.observe(now, load, LeavingSignal::Refusal);
    }

    /// Counts an attempt that ended by timeout, broken connection or bad answer.
    pub fn record_failure(&mut self, waited: Duration) {
        self.finish();
        self.failures += 1;
        self.add_lower_bound(waited);
    }

    /// Takes back an attempt that was never sent, for a reason that says nothing about the upstream.
    pub fn revert_send(&mut self) {
        self.finish();
    }

    /// Counts an attempt that was cancelled `waited` after sending, because another one was answered first.
    pub fn record_cancellation(&mut self, waited: Duration) {
        self.finish();
        self.add_lower_bound(waited);
    }

    /// Takes in a health or load report, which may lag or be false.
    pub fn record_report(&mut self, now: ClockTime, report: LoadReport) {
        if !report.is_draining {
            self.forget_leaving(now);
        }
        self.observe(now, report, LeavingSignal::Report);
    }

    /// Marks the upstream as leaving at `now`. The first signal counts, except that any other one replaces a
    /// mere report.
    pub fn mark_leaving(&mut self, now: ClockTime, signal: LeavingSignal) {
        self.leaving_seen = now;
        match self.leaving {
            None | Some(LeavingSignal::Report) => self.leaving = Some(signal),
            Some(_) => {}
        }
    }

    /// The leaving signal, if any.
    pub fn leaving_signal(&self) -> Option<LeavingSignal> {
        self.leaving
    }

    /// Says whether nothing but a load or health report names the upstream as leaving. Reports can be false, so
    /// such an upstream still serves a shard that has no other.
    fn is_only_reported(&self) -> bool {
        self.leaving == Some(LeavingSignal::Report)
    }

    /// Forgets that the upstream was leaving when reports have contradicted it for long enough: another process
    /// took its place. What the list says is revoked by the list alone.
    fn forget_leaving(&mut self, now: ClockTime) {
        let is_listed = self.leaving == Some(LeavingSignal::List);
        if !is_listed && now.since(self.leaving_seen) >= LEAVING_MEMORY {
            self.leaving = None;
        }
    }

    /// Notes that the instance list names the upstream as live again.
    pub fn clear_listed_leaving(&mut self) {
        if self.leaving == Some(LeavingSignal::List) {
            self.leaving = None;
        }
    }

    /// Starts afresh, for a new process under the same id. Attempts in flight stay counted.
    pub fn reset(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            ..Self::default()
        };
    }

    /// Sub-requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Estimated latency, if any attempt ended since the last ejection.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_micros
            .map(|micros| Duration::from_micros(micros as u64))
    }

    /// Samples behind the estimate.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Attempts that failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Ejects the upstream for a while and returns the end. The estimate starts afresh afterwards.
    pub fn eject(&mut self, now: ClockTime) -> ClockTime {
        let recent = self
            .ejected_until
            .is_some_and(|until| now.since(until) < EJECTION_MEMORY);
        self.ejections = match recent {
            true => (self.ejections + 1).min(MOST_DOUBLINGS),
            false => 0,
        };
        let until = now + FIRST_EJECTION * 2_u32.pow(self.ejections);
        self.ejected_until = Some(until);
        self.latency_micros = None;
        self.samples = 0;
        self.failures = 0;
        self.trial = TRIAL_ANSWERS;
        until
    }

    /// Says whether the upstream returned from an ejection and has yet to prove itself. It then gets one
    /// attempt at a time, and a single late or failed one ejects it again.
    pub fn is_on_trial(&self, now: ClockTime) -> bool {
        self.trial > 0 && !self.is_ejected(now)
    }

    /// Says whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Copies what a replica choice needs.
    pub fn load(&self, now: ClockTime) -> UpstreamLoad {
        let latency = self.latency().unwrap_or(UNKNOWN_LATENCY);
        let held = 1.0 + f64::from(self.in_flight) + self.others_at(now);
        UpstreamLoad {
            in_flight: self.in_flight,
            expected_latency: latency.mul_f64(held),
            is_leaving: self.leaving.is_some() && !self.is_only_reported(),
            is_reported_leaving: self.is_only_reported(),
            is_ejected: self.is_ejected(now) || (self.is_on_trial(now) && self.in_flight > 0),
        }
    }

    /// Load by other instances, fading with the age of the observation.
    fn others_at(&self, now: ClockTime) -> f64 {
        let Some((time, others)) = self.others else {
            return 0.0;
        };
        let age = now.since(time).as_secs_f64() / OBSERVATION_AGE.as_secs_f64();
        f64::from(others).min(MOST_REPORTED) * (1.0 - age).max(0.0)
    }

    fn observe(&mut self, now: ClockTime, load: LoadReport, signal: LeavingSignal) {
        if load.is_draining {
            self.mark_leaving(now, signal);
        }
        let time = now - load.age;
        if self.others.is_none_or(|(known, _)| known <= time) {
            let others = load.in_flight.saturating_sub(self.in_flight);
            self.others = Some((time, others));
        }
    }

    fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn add_sample(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let known = self.latency_micros.unwrap_or(micros);
        self.latency_micros = Some(known + (micros - known) * LATENCY_WEIGHT);
        self.samples = self.samples.saturating_add(1);
    }

    /// A wait without an answer is a sample only when it is above the estimate.
    fn add_lower_bound(&mut self, waited: Duration) {
        if self.latency().is_none_or(|latency| latency < waited) {
            self.add_sample(waited);
        }
    }
}
