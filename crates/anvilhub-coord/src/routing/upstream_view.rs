use std::time::Duration;

use derive_more::Display;

use crate::time::ClockTime;

use super::UpstreamLoad;

/// Weight of a new sample in the latency estimate; about 20 answers replace the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Latency that is assumed for an upstream that has not answered yet, while attempts are in flight.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);
/// Time without a sample after which the latency estimate counts half. An upstream that was slow once gets attempts again
/// without having to be the only one left.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Latency below which an estimate does not fall with time, so that loads still decide between upstreams that have all been
/// idle. An idle upstream that has not answered yet counts like one whose estimate has aged, and is tried.
const MIN_AGED_LATENCY: Duration = Duration::from_micros(100);
/// Age from which an observed load of other instances is ignored, since slots are reused within milliseconds.
const MAX_PEER_LOAD_AGE: Duration = Duration::from_millis(100);
/// Maximum load of other instances that counts, in sub-requests. Reports can be false, so this instance's own
/// measurements must outweigh them.
const MAX_PEER_LOAD: f64 = 4.0;
/// Time after the last leaving signal from which a report that contradicts it is believed. It is longer than the lag
/// of reports and the typical drain of an upstream. If reports were never believed, an upstream whose restart went
/// unnoticed would never be used again.
const LEAVING_SIGNAL_TTL: Duration = Duration::from_secs(120);
/// Duration of the first ejection. Each further one within `EJECTION_RESET_TIME` lasts twice as long.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum number of doublings: an ejection lasts at most 32 s.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time after the end of an ejection from which the next one has the duration of a first one again.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(60);
/// Number of answers that end the trial after an ejection.
const TRIAL_ANSWER_COUNT: u32 = 3;

/// How this instance learned that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum LeavingSignal {
    /// The instance list names the upstream as leaving.
    #[display("list")]
    List,
    /// An answer carried the `draining` flag.
    #[display("answer")]
    Answer,
    /// A health or load report carried the `draining` flag.
    #[display("report")]
    Report,
    /// The upstream refused a sub-request because it is draining.
    #[display("refusal")]
    Refusal,
    /// A peer received one of these signals.
    #[display("peer")]
    Peer,
    /// A peer received a health or load report that carried the `draining` flag.
    #[display("peer_report")]
    PeerReport,
}

/// Load that an upstream reports, in an answer or a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of sub-requests of all instances at the upstream, running or queued.
    pub in_flight: u32,
    /// Age of the report when it arrived; zero for answers.
    pub age: Duration,
    /// Whether the upstream is draining.
    pub is_draining: bool,
}

/// Load, latency and state of one upstream as seen by one instance.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    in_flight: u32,
    latency_micros: Option<f64>,
    /// Time of the last sample in the latency estimate.
    sampled_at: ClockTime,
    sample_count: u32,
    failure_count: u32,
    /// Number of sub-requests of other instances, with the time of the observation.
    peer_load: Option<(ClockTime, u32)>,
    leaving_signal: Option<LeavingSignal>,
    /// Time of the last leaving signal.
    leaving_signaled_at: ClockTime,
    ejected_until: Option<ClockTime>,
    /// Number of doublings of the latest ejection.
    ejection_doublings: u32,
    trial_answers_left: u32,
}

impl UpstreamView {
    /// Records an attempt that is sent now.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
    }

    /// Records an answer that arrived `latency` after sending, with the load that it states.
    pub fn record_answer(&mut self, now: ClockTime, latency: Duration, load: ReportedLoad) {
        self.end_attempt();
        self.failure_count = 0;
        self.trial_answers_left = self.trial_answers_left.saturating_sub(1);
        self.add_sample(now, latency);
        self.update_load(now, load, LeavingSignal::Answer);
    }

    /// Records a `not_run` answer, with the load that it states.
    pub fn record_refusal(&mut self, now: ClockTime, load: ReportedLoad) {
        self.end_attempt();
        self.failure_count = 0;
        self.update_load(now, load, LeavingSignal::Refusal);
    }

    /// Records an attempt that ended `waited` after sending with a timeout, a broken connection or a bad answer.
    pub fn record_failure(&mut self, now: ClockTime, waited: Duration) {
        self.end_attempt();
        self.failure_count += 1;
        self.add_lower_bound(now, waited);
    }

    /// Reverts `record_send` for an attempt that was not sent, for a reason unrelated to the upstream.
    pub fn revert_send(&mut self) {
        self.end_attempt();
    }

    /// Records an attempt that was cancelled `waited` after sending, because another one was answered first.
    pub fn record_cancellation(&mut self, now: ClockTime, waited: Duration) {
        self.end_attempt();
        self.add_lower_bound(now, waited);
    }

    /// Records a health or load report, which may be outdated or false.
    pub fn record_report(&mut self, now: ClockTime, load: ReportedLoad) {
        if !load.is_draining {
            self.clear_outdated_leaving(now);
        }
        self.update_load(now, load, LeavingSignal::Report);
    }

    /// Marks the upstream as leaving at `now`. The first signal is kept, but any other signal replaces a report. A signal of a
    /// peer confirms none that this instance received itself: two instances would confirm it to each other forever.
    pub fn mark_leaving(&mut self, now: ClockTime, signal: LeavingSignal) {
        match (self.leaving_signal, signal) {
            (None | Some(LeavingSignal::PeerReport), _) => self.leaving_signal = Some(signal),
            (Some(_), LeavingSignal::PeerReport) => return,
            (Some(LeavingSignal::Report), _) => self.leaving_signal = Some(signal),
            (Some(LeavingSignal::Answer | LeavingSignal::Refusal), LeavingSignal::Peer) => return,
            (Some(_), _) => {}
        }
        self.leaving_signaled_at = now;
    }

    /// Returns the signal that the upstream is leaving, if any.
    pub fn leaving_signal(&self) -> Option<LeavingSignal> {
        self.leaving_signal
    }

    /// Returns whether only health or load reports, of this instance or of a peer, say that the upstream is leaving. Reports
    /// can be false, so the upstream still serves a shard that has no other replica.
    fn is_reported_leaving(&self) -> bool {
        matches!(
            self.leaving_signal,
            Some(LeavingSignal::Report | LeavingSignal::PeerReport)
        )
    }

    /// Returns the signal that this instance tells its peers: one that it received itself, and not so long ago that reports
    /// to the contrary are believed.
    pub fn announced_signal(&self, now: ClockTime) -> Option<LeavingSignal> {
        let is_own = |signal: &LeavingSignal| {
            use LeavingSignal::{Answer, Refusal, Report};
            matches!(signal, Answer | Refusal | Report)
        };
        self.leaving_signal
            .filter(is_own)
            .filter(|_| !self.is_leaving_outdated(now))
    }

    /// Returns whether the last signal is old enough for a contradicting report to be believed.
    fn is_leaving_outdated(&self, now: ClockTime) -> bool {
        now.since(self.leaving_signaled_at) >= LEAVING_SIGNAL_TTL
    }

    /// Clears the leaving signal that a report contradicts, if it is outdated. The report then shows that another process
    /// has replaced the upstream. A signal of the instance list is cleared only by the list, and this instance's report
    /// takes precedence over one that a peer received.
    fn clear_outdated_leaving(&mut self, now: ClockTime) {
        match self.leaving_signal {
            Some(LeavingSignal::PeerReport) => self.leaving_signal = None,
            Some(LeavingSignal::List) | None => {}
            Some(_) if self.is_leaving_outdated(now) => self.leaving_signal = None,
            Some(_) => {}
        }
    }

    /// Clears the signal of a peer once no peer repeats it. An instance that doesn't send to the upstream requests no
    /// reports, which could contradict it.
    pub fn expire_peer_signal(&mut self, now: ClockTime) {
        let is_of_peer = matches!(
            self.leaving_signal,
            Some(LeavingSignal::Peer | LeavingSignal::PeerReport)
        );
        if is_of_peer && self.is_leaving_outdated(now) {
            self.leaving_signal = None;
        }
    }

    /// Clears a leaving signal of the instance list, after the list named the upstream as live again.
    pub fn clear_listed_leaving(&mut self) {
        if self.leaving_signal == Some(LeavingSignal::List) {
            self.leaving_signal = None;
        }
    }

    /// Discards everything but the number of attempts in flight, after a new process took over the upstream's id.
    pub fn reset(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            ..Self::default()
        };
    }

    /// Returns the number of sub-requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the estimated latency, if there is a sample since the last ejection.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_micros
            .map(|micros| Duration::from_micros(micros as u64))
    }

    /// Returns the number of samples in the latency estimate.
    pub fn sample_count(&self) -> u32 {
        self.sample_count
    }

    /// Returns the number of failed attempts since the last answer, refusal or ejection.
    pub fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Ejects the upstream for a while and returns the end of the ejection. Resets the latency estimate.
    pub fn eject(&mut self, now: ClockTime) -> ClockTime {
        let is_repeated = self
            .ejected_until
            .is_some_and(|until| now.since(until) < EJECTION_RESET_TIME);
        self.ejection_doublings = match is_repeated {
            true => (self.ejection_doublings + 1).min(MAX_EJECTION_DOUBLINGS),
            false => 0,
        };
        let until = now + MIN_EJECTION_TIME * 2_u32.pow(self.ejection_doublings);
        self.ejected_until = Some(until);
        self.latency_micros = None;
        self.sample_count = 0;
        self.failure_count = 0;
        self.trial_answers_left = TRIAL_ANSWER_COUNT;
        until
    }

    /// Returns whether the upstream is on trial after an ejection. It then gets one attempt at a time, and a single
    /// slow or failed attempt ejects it again.
    pub fn is_on_trial(&self, now: ClockTime) -> bool {
        self.trial_answers_left > 0 && !self.is_ejected(now)
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the load and the state that the choice of a replica needs.
    pub fn load(&self, now: ClockTime) -> UpstreamLoad {
        let latency = self
            .aged_latency_micros(now)
            .map(|micros| Duration::from_micros(micros as u64))
            .unwrap_or(match self.in_flight {
                0 => MIN_AGED_LATENCY,
                _ => DEFAULT_LATENCY,
            });
        let load = 1.0 + f64::from(self.in_flight) + self.peer_load_at(now);
        UpstreamLoad {
            in_flight: self.in_flight,
            expected_latency: latency.mul_f64(load),
            is_leaving: self.leaving_signal.is_some() && !self.is_reported_leaving(),
            is_reported_leaving: self.is_reported_leaving(),
            is_ejected: self.is_ejected(now) || (self.is_on_trial(now) && self.in_flight > 0),
        }
    }

    /// Returns the load of other instances in sub-requests. The older the observation is, the less it counts.
    fn peer_load_at(&self, now: ClockTime) -> f64 {
        let Some((observed_at, load)) = self.peer_load else {
            return 0.0;
        };
        let age_ratio = now.since(observed_at).as_secs_f64() / MAX_PEER_LOAD_AGE.as_secs_f64();
        f64::from(load).min(MAX_PEER_LOAD) * (1.0 - age_ratio).max(0.0)
    }

    fn update_load(&mut self, now: ClockTime, load: ReportedLoad, signal: LeavingSignal) {
        if load.is_draining {
            self.mark_leaving(now, signal);
        }
        let observed_at = now - load.age;
        if self.peer_load.is_none_or(|(known, _)| known <= observed_at) {
            let peer_load = load.in_flight.saturating_sub(self.in_flight);
            self.peer_load = Some((observed_at, peer_load));
        }
    }

    fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the latency estimate in microseconds as the choice of a replica uses it: the longer there was no sample, the
    /// less it counts.
    fn aged_latency_micros(&self, now: ClockTime) -> Option<f64> {
        let micros = self.latency_micros?;
        let half_lives = now.since(self.sampled_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let floor = micros.min(MIN_AGED_LATENCY.as_micros() as f64);
        Some((micros * 0.5_f64.powf(half_lives)).max(floor))
    }

    /// Adds a sample to the estimate. One that is not above the aged estimate shows that the upstream has become faster, and
    /// is averaged with that; a higher one shows that it has not.
    fn add_sample(&mut self, now: ClockTime, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let known = match self.aged_latency_micros(now) {
            Some(aged) if micros <= aged => aged,
            _ => self.latency_micros.unwrap_or(micros),
        };
        self.latency_micros = Some(known + (micros - known) * SAMPLE_WEIGHT);
        self.sampled_at = now;
        self.sample_count = self.sample_count.saturating_add(1);
    }

    /// Records a wait without an answer, which is a sample only if it exceeds the estimate.
    fn add_lower_bound(&mut self, now: ClockTime, waited: Duration) {
        if self.latency().is_none_or(|latency| latency < waited) {
            self.add_sample(now, waited);
        }
    }
}
