use std::time::Duration;

use super::SlotLoad;
use crate::time::ClockTime;

/// Weight of a new observation of the slowdown; about 5 answers replace the old value.
const SLOWDOWN_WEIGHT: f64 = 0.25;
/// Time in which an observed slowdown decays by half, so that a recovered upstream gets work again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);
/// Age from which a reported load is ignored, since slots turn over within milliseconds.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);
/// Weight of a new observation in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Time in which the failure rate decays by half.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Cost of an attempt that will not be answered, in typical latencies; weighted by the failure rate.
const FAILURE_COST: f64 = 6.0;
/// Consecutive failures that start a cooldown.
const COOLDOWN_FAILURES: u32 = 3;
/// First cooldown; it doubles with each further `COOLDOWN_FAILURES` failures.
const MIN_COOLDOWN: Duration = Duration::from_millis(400);
/// Maximum number of doublings of the cooldown: the longest cooldown is 3.2 s.
const MAX_COOLDOWN_DOUBLINGS: u32 = 3;
/// Multiple of the typical latency after which an unanswered attempt raises the cost of its upstream.
const OVERDUE_FACTOR: f64 = 3.0;
/// Maximum cost of an unanswered attempt, and maximum observed slowdown, in typical latencies.
const MAX_OVERDUE_COST: f64 = 40.0;
/// Minimum observed slowdown, in typical latencies.
const MIN_OBSERVED_SLOWDOWN: f64 = 0.2;
/// Minimum slowdown that is accepted from a report.
const MIN_REPORTED_SLOWDOWN: f64 = 0.5;
/// Minimum typical latency that a latency is divided by, in seconds. Avoids a division by zero.
const MIN_TYPICAL_LATENCY_SECONDS: f64 = 1e-4;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Unconnected,
    /// The connection broke, or the answer could not be used.
    Broken,
    /// Nothing arrived in time.
    Silent,
}

/// What one instance knows about the speed and load of one upstream.
///
/// Designed for upstreams that pause for a moment, become slow for seconds or fail, while the load they report lags:
/// unanswered attempts of this instance raise the cost at once, and a reported load expires within milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStats {
    /// Send times of the attempts in flight.
    sent_times: Vec<ClockTime>,
    /// Latency relative to the typical one; 0 before the first observation.
    slowdown: f64,
    slowdown_updated_at: ClockTime,
    reported_load: Option<(ClockTime, SlotLoad)>,
    sends_since_report: u32,
    consecutive_failures: u32,
    failure_rate: f64,
    failure_rate_updated_at: ClockTime,
    cooldown_until: Option<ClockTime>,
    answered_at: Option<ClockTime>,
}

impl ReplicaStats {
    /// Records an attempt that is sent at `now`.
    pub fn record_send(&mut self, now: ClockTime) {
        self.sent_times.push(now);
        self.sends_since_report += 1;
    }

    /// Records an answer to the attempt sent at `sent_at`, and returns whether the upstream was suspect until now.
    /// `typical_latency` is the typical latency of such answers.
    pub fn record_answer(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        typical_latency: Duration,
    ) -> bool {
        self.remove_attempt(sent_at);
        let was_suspect = self.is_suspect();
        self.answered_at = Some(now);
        self.consecutive_failures = 0;
        self.cooldown_until = None;
        self.update_failure_rate(now, 0.0);
        self.update_slowdown(now, now.since(sent_at), typical_latency);
        was_suspect
    }

    /// Records a refusal of the attempt sent at `sent_at`: the upstream is alive, but has no capacity or claims
    /// to have none.
    pub fn record_refusal(&mut self, now: ClockTime, sent_at: ClockTime) {
        self.remove_attempt(sent_at);
        self.update_failure_rate(now, 1.0);
        self.consecutive_failures = 0;
    }

    /// Records a failure of the attempt sent at `sent_at`. Returns the length of the cooldown if one begins.
    pub fn record_failure(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        kind: FailureKind,
    ) -> Option<Duration> {
        self.remove_attempt(sent_at);
        self.update_failure_rate(now, 1.0);
        self.consecutive_failures += match kind {
            FailureKind::Unconnected => COOLDOWN_FAILURES,
            FailureKind::Broken | FailureKind::Silent => 1,
        };
        if self.consecutive_failures < COOLDOWN_FAILURES {
            return None;
        }
        let doublings = ((self.consecutive_failures - COOLDOWN_FAILURES) / COOLDOWN_FAILURES)
            .min(MAX_COOLDOWN_DOUBLINGS);
        let cooldown = MIN_COOLDOWN * 2_u32.pow(doublings);
        let was_cooling_down = self.is_cooling_down(now);
        self.cooldown_until = Some(now + cooldown);
        (!was_cooling_down).then_some(cooldown)
    }

    /// Removes an attempt that was abandoned at `now`; a wait longer than expected raises the slowdown.
    pub fn record_abandoned(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        typical_latency: Duration,
    ) {
        self.remove_attempt(sent_at);
        let waited = now.since(sent_at);
        if waited > typical_latency.mul_f64(self.slowdown_at(now)) {
            self.update_slowdown(now, waited, typical_latency);
        }
    }

    /// Records the load that an answer reports.
    pub fn record_load(&mut self, now: ClockTime, load: SlotLoad) {
        self.reported_load = Some((now, load));
        self.sends_since_report = 0;
    }

    /// Returns the time since the last answer; `None` before the first one.
    pub fn answer_age(&self, now: ClockTime) -> Option<Duration> {
        self.answered_at.map(|answered_at| now.since(answered_at))
    }

    /// Returns the number of attempts of this instance that are in flight.
    pub fn in_flight(&self) -> usize {
        self.sent_times.len()
    }

    /// Returns whether the upstream is in a cooldown after failures.
    pub fn is_cooling_down(&self, now: ClockTime) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream failed since its last answer.
    pub fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether the upstream failed repeatedly and has not answered since.
    pub fn is_suspect(&self) -> bool {
        self.consecutive_failures >= COOLDOWN_FAILURES
    }

    /// Returns the expected time until an answer, in typical latencies. `slots` is the number that the upstream
    /// announces.
    pub fn cost(&self, now: ClockTime, typical_latency: Duration, slots: u32) -> f64 {
        let queue_rounds = self.queue_rounds(now, slots);
        let reported = self.reported_slowdown(now);
        self.slowdown_at(now).max(reported) * (1.0 + queue_rounds)
            + self.overdue_cost(now, typical_latency)
            + FAILURE_COST * self.failure_rate_at(now)
    }

    /// Returns the length of the queue in front of a new request, in rounds of one request per slot; 0 if a slot is
    /// free.
    pub fn queue_rounds(&self, now: ClockTime, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        (self.known_request_count(now) - slots + 1.0).max(0.0) / slots
    }

    /// Returns whether the oldest unanswered attempt waits longer than the queue explains that the upstream reported: it
    /// pauses or has failed. A report that is no longer recent explains nothing.
    pub fn is_overdue(&self, now: ClockTime, typical_latency: Duration, slots: u32) -> bool {
        let reported = self.reported_request_count(now).unwrap_or(0.0);
        let queue_rounds = reported / f64::from(slots.max(1));
        let expected = typical_latency.mul_f64(OVERDUE_FACTOR * (1.0 + queue_rounds));
        let oldest = self.sent_times.iter().min();
        oldest.is_some_and(|sent_at| now.since(*sent_at) > expected)
    }

    /// Returns how many requests the upstream holds, as far as this instance knows.
    fn known_request_count(&self, now: ClockTime) -> f64 {
        let own = self.sent_times.len() as f64;
        let Some(reported) = self.reported_request_count(now) else {
            return own;
        };
        own.max(reported + f64::from(self.sends_since_report).min(own))
    }

    /// Returns how many requests the upstream last reported, less with the age of the report.
    fn reported_request_count(&self, now: ClockTime) -> Option<f64> {
        let (time, load) = self.reported_load?;
        let freshness = (1.0 - now.since(time).as_secs_f64() / MAX_LOAD_AGE.as_secs_f64()).max(0.0);
        Some(f64::from(load.running + load.waiting) * freshness)
    }

    /// Returns the slowdown that the upstream reported, or 1 if no report is recent enough.
    fn reported_slowdown(&self, now: ClockTime) -> f64 {
        let fresh = self
            .reported_load
            .filter(|(time, _)| now.since(*time) < MAX_LOAD_AGE);
        fresh.map_or(1.0, |(_, load)| load.slowdown.max(MIN_REPORTED_SLOWDOWN))
    }

    /// Returns the observed slowdown, decayed towards 1.
    fn slowdown_at(&self, now: ClockTime) -> f64 {
        if self.slowdown == 0.0 {
            return 1.0;
        }
        let age = now.since(self.slowdown_updated_at).as_secs_f64();
        let half_lives = age / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Returns the fraction of recent attempts that were not answered, decayed towards 0.
    fn failure_rate_at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.failure_rate_updated_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }

    fn update_failure_rate(&mut self, now: ClockTime, observed: f64) {
        let known = self.failure_rate_at(now);
        self.failure_rate = known + (observed - known) * FAILURE_RATE_WEIGHT;
        self.failure_rate_updated_at = now;
    }

    /// Returns the cost of the oldest unanswered attempt; 0 until it is overdue.
    fn overdue_cost(&self, now: ClockTime, typical_latency: Duration) -> f64 {
        let Some(oldest) = self.sent_times.iter().min() else {
            return 0.0;
        };
        let waited = now.since(*oldest).as_secs_f64()
            / typical_latency
                .as_secs_f64()
                .max(MIN_TYPICAL_LATENCY_SECONDS);
        match waited > OVERDUE_FACTOR {
            true => waited.min(MAX_OVERDUE_COST),
            false => 0.0,
        }
    }

    fn update_slowdown(&mut self, now: ClockTime, latency: Duration, typical_latency: Duration) {
        let observed = (latency.as_secs_f64()
            / typical_latency
                .as_secs_f64()
                .max(MIN_TYPICAL_LATENCY_SECONDS))
        .clamp(MIN_OBSERVED_SLOWDOWN, MAX_OVERDUE_COST);
        let known = self.slowdown_at(now);
        self.slowdown = known + (observed - known) * SLOWDOWN_WEIGHT;
        self.slowdown_updated_at = now;
    }

    fn remove_attempt(&mut self, sent_at: ClockTime) {
        if let Some(index) = self.sent_times.iter().position(|time| *time == sent_at) {
            self.sent_times.swap_remove(index);
        }
    }
}
