use std::time::Duration;

use super::SlotLoad;
use crate::time::ClockTime;

/// Weight of a new observation of the pace; about 5 answers replace it.
const PACE_WEIGHT: f64 = 0.25;
/// Time after which half of an observed slowness is forgotten, so that a recovered upstream gets work again.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Age after which a stated load says nothing, since slots turn over within milliseconds.
const LOAD_AGE: Duration = Duration::from_millis(150);
/// Weight of a new observation in the share of attempts that gave no answer.
const TROUBLE_WEIGHT: f64 = 0.15;
/// Time after which half of that share is forgotten.
const TROUBLE_HALF_LIFE: Duration = Duration::from_secs(2);
/// What an attempt that gives no answer costs, in usual answer times.
const TROUBLE_COST: f64 = 6.0;
/// Failures in a row after which an upstream rests.
const FAILURES: u32 = 3;
/// First rest; each further failure doubles it.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Doublings after which a rest becomes no longer: 3.2 s.
const MOST_DOUBLINGS: u32 = 3;
/// Multiple of the usual time after which an attempt without an answer counts against its upstream.
const SILENCE_FACTOR: f64 = 3.0;
/// Most that silence adds to the cost of an upstream, in usual answer times.
const MOST_SILENCE: f64 = 40.0;

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

/// What one instance knows about the speed and the load of one upstream.
///
/// Answers the load pattern of upstreams that pause for a moment, turn slow for seconds or fail, while their stated
/// load lags: own attempts that wait for an answer count at once, stated load fades within milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStats {
    waiting: Vec<ClockTime>,
    pace: f64,
    pace_time: ClockTime,
    load: Option<(ClockTime, SlotLoad)>,
    sent_since_load: u32,
    failures: u32,
    trouble: f64,
    trouble_time: ClockTime,
    rests_until: Option<ClockTime>,
}

impl ReplicaStats {
    /// Counts an attempt that is sent at `now`.
    pub fn sent(&mut self, now: ClockTime) {
        self.waiting.push(now);
        self.sent_since_load += 1;
    }

    /// Counts an answer to the attempt sent at `sent`, and says whether it ends a series of failures. `usual` is the
    /// usual time of such an answer.
    pub fn answered(&mut self, now: ClockTime, sent: ClockTime, usual: Duration) -> bool {
        self.finish(sent);
        let was_doubtful = self.is_doubtful();
        self.failures = 0;
        self.rests_until = None;
        self.observe_trouble(now, 0.0);
        self.observe_pace(now, now.since(sent), usual);
        was_doubtful
    }

    /// Counts a refusal of the attempt sent at `sent`: the upstream works, but has no room or says so.
    pub fn refused(&mut self, now: ClockTime, sent: ClockTime) {
        self.finish(sent);
        self.observe_trouble(now, 1.0);
        self.failures = 0;
    }

    /// Counts an attempt that failed. Returns how long the upstream rests if it does from now on.
    pub fn failed(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        kind: FailureKind,
    ) -> Option<Duration> {
        self.finish(sent);
        self.observe_trouble(now, 1.0);
        self.failures += match kind {
            FailureKind::Unconnected => FAILURES,
            FailureKind::Broken | FailureKind::Silent => 1,
        };
        if self.failures < FAILURES {
            return None;
        }
        let doublings = ((self.failures - FAILURES) / FAILURES).min(MOST_DOUBLINGS);
        let rest = FIRST_REST * 2_u32.pow(doublings);
        let was_resting = self.is_resting(now);
        self.rests_until = Some(now + rest);
        (!was_resting).then_some(rest)
    }

    /// Takes back an attempt that was abandoned `now`; a long wait counts against the pace.
    pub fn abandoned(&mut self, now: ClockTime, sent: ClockTime, usual: Duration) {
        self.finish(sent);
        let waited = now.since(sent);
        if waited > usual.mul_f64(self.pace_at(now)) {
            self.observe_pace(now, waited, usual);
        }
    }

    /// Takes in the load that an answer states.
    pub fn stated(&mut self, now: ClockTime, load: SlotLoad) {
        self.load = Some((now, load));
        self.sent_since_load = 0;
    }

    /// Own attempts without an answer.
    pub fn in_flight(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether the upstream rests after failures.
    pub fn is_resting(&self, now: ClockTime) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Says whether the upstream failed and has not answered since.
    pub fn is_doubtful(&self) -> bool {
        self.failures >= FAILURES
    }

    /// Expected time of an answer, in usual answer times. `slots` is what the upstream announces.
    pub fn cost(&self, now: ClockTime, usual: Duration, slots: u32) -> f64 {
        let queue = self.queue(now, slots);
        let machine = self.stated_pace(now);
        self.pace_at(now).max(machine) * (1.0 + queue)
            + self.silence(now, usual)
            + TROUBLE_COST * self.trouble_at(now)
    }

    /// Rounds of work in front of a further request: 0 when a slot is free.
    pub fn queue(&self, now: ClockTime, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        (self.held(now) - slots + 1.0).max(0.0) / slots
    }

    /// Requests that the upstream holds, as far as is known.
    fn held(&self, now: ClockTime) -> f64 {
        let own = self.waiting.len() as f64;
        let Some((time, load)) = self.load else {
            return own;
        };
        let fresh = (1.0 - now.since(time).as_secs_f64() / LOAD_AGE.as_secs_f64()).max(0.0);
        let stated = f64::from(load.running + load.waiting) * fresh;
        own.max(stated + f64::from(self.sent_since_load).min(own))
    }

    fn stated_pace(&self, now: ClockTime) -> f64 {
        let fresh = self.load.filter(|(time, _)| now.since(*time) < LOAD_AGE);
        fresh.map_or(1.0, |(_, load)| load.slowdown.max(0.5))
    }

    /// Slowness relative to the usual time, fading to 1.
    fn pace_at(&self, now: ClockTime) -> f64 {
        if self.pace == 0.0 {
            return 1.0;
        }
        let half_lives = now.since(self.pace_time).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (self.pace - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Share of recent attempts that gave no answer, fading to none.
    fn trouble_at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.trouble_time).as_secs_f64();
        self.trouble * 0.5_f64.powf(age / TROUBLE_HALF_LIFE.as_secs_f64())
    }

    fn observe_trouble(&mut self, now: ClockTime, observed: f64) {
        let known = self.trouble_at(now);
        self.trouble = known + (observed - known) * TROUBLE_WEIGHT;
        self.trouble_time = now;
    }

    fn silence(&self, now: ClockTime, usual: Duration) -> f64 {
        let Some(oldest) = self.waiting.iter().min() else {
            return 0.0;
        };
        let waited = now.since(*oldest).as_secs_f64() / usual.as_secs_f64().max(1e-4);
        match waited > SILENCE_FACTOR {
            true => waited.min(MOST_SILENCE),
            false => 0.0,
        }
    }

    fn observe_pace(&mut self, now: ClockTime, time: Duration, usual: Duration) {
        let observed =
            (time.as_secs_f64() / usual.as_secs_f64().max(1e-4)).clamp(0.2, MOST_SILENCE);
        let known = self.pace_at(now);
        self.pace = known + (observed - known) * PACE_WEIGHT;
        self.pace_time = now;
    }

    fn finish(&mut self, sent: ClockTime) {
        if let Some(index) = self.waiting.iter().position(|time| *time == sent) {
            self.waiting.swap_remove(index);
        }
    }
}
