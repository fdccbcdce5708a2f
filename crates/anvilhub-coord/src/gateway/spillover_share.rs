use std::time::Duration;

use super::RemoteSaving;
use crate::time::ClockTime;

/// Weight of a new observation of whether leaving pays; about 5 choices replace the old value.
const PAYING_WEIGHT: f64 = 0.25;
/// Fraction of recent choices for which leaving must pay for the share to grow.
///
/// In the replay of 86 instances, 0.5 with a falling fraction of 0.25 gave a p95 of 107 instead of 99 ms at home, and the
/// shares ended 103 instead of 52 times.
const GROWING_FRACTION: f64 = 0.25;
/// Fraction of recent choices below which the share falls: after about ten choices in a row for which leaving does not
/// pay. Between the two it stays.
const FALLING_FRACTION: f64 = 0.02;
/// Change of the share in one step. Many instances with the same view move at most this fraction of their attempts
/// before the answers show the effect. In the replay of 86 instances, 0.25 gave the callers of the
/// next domain a p95 of 60 instead of 53 ms.
const STEP: f64 = 0.1;
/// Minimum time between two steps: several answers of a loaded upstream.
const STEP_INTERVAL: Duration = Duration::from_millis(300);
/// Age from which answers of the other failure domains no longer justify leaving.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(10);
/// Time without a choice after which the share is void.
const MAX_CHOICE_AGE: Duration = Duration::from_secs(10);
/// Time after the end of a spillover in which no other begins; bounds the log to one pair of lines in this time.
const RESTART_PAUSE: Duration = Duration::from_secs(2);

/// Whether a service began or ended to leave its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpilloverChange {
    /// The share rose above none.
    Begins,
    /// The share fell back to none, because leaving no longer pays.
    Ends,
    /// The share fell back to none, because nothing recent is known.
    Expires,
}

/// Fraction of a service's attempts that may leave the failure domain among those for which leaving pays a little.
///
/// Designed for a domain with too few upstreams whose demand swings by half within seconds, and for up to a hundred
/// instances that see the same queues and share no counter: small steps move some of the load and wait for its effect,
/// and two thresholds keep the share from swinging around one.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpilloverShare {
    share: f64,
    paying_fraction: f64,
    stepped_at: ClockTime,
    began_at: ClockTime,
    ended_at: Option<ClockTime>,
    chosen_at: ClockTime,
}

impl SpilloverShare {
    /// Returns the share, from 0 to 1.
    pub fn get(&self) -> f64 {
        self.share
    }

    /// Records what leaving would save for an attempt, before it is chosen whether it leaves.
    pub fn record_choice(
        &mut self,
        now: ClockTime,
        saving: &RemoteSaving,
    ) -> Option<SpilloverChange> {
        let choice_age = now.since(self.chosen_at);
        self.chosen_at = now;
        let observed = f64::from(u8::from(saving.pays()));
        if choice_age > MAX_CHOICE_AGE {
            self.paying_fraction = 0.0;
        }
        self.paying_fraction += (observed - self.paying_fraction) * PAYING_WEIGHT;
        let is_known = saving.answer_age.is_some_and(|age| age <= MAX_ANSWER_AGE);
        let was_tried = now.since(self.began_at) > MAX_ANSWER_AGE;
        if self.share > 0.0 && (choice_age > MAX_CHOICE_AGE || was_tried && !is_known) {
            return Some(self.end(now, SpilloverChange::Expires));
        }
        if now.since(self.stepped_at) < STEP_INTERVAL {
            return None;
        }
        self.step(now)
    }

    /// Ends the spillover if no attempt was chosen for a while.
    pub fn expire(&mut self, now: ClockTime) -> Option<SpilloverChange> {
        let is_idle = self.share > 0.0 && now.since(self.chosen_at) > MAX_CHOICE_AGE;
        is_idle.then(|| self.end(now, SpilloverChange::Expires))
    }

    fn step(&mut self, now: ClockTime) -> Option<SpilloverChange> {
        let is_pausing = self
            .ended_at
            .is_some_and(|ended_at| now.since(ended_at) < RESTART_PAUSE);
        if self.paying_fraction >= GROWING_FRACTION && !is_pausing {
            let begins = self.share == 0.0;
            self.stepped_at = now;
            self.share = (self.share + STEP).min(1.0);
            if begins {
                self.began_at = now;
            }
            return begins.then_some(SpilloverChange::Begins);
        }
        if self.paying_fraction < FALLING_FRACTION && self.share > 0.0 {
            self.stepped_at = now;
            self.share -= STEP;
            if self.share < STEP / 2.0 {
                return Some(self.end(now, SpilloverChange::Ends));
            }
        }
        None
    }

    fn end(&mut self, now: ClockTime, change: SpilloverChange) -> SpilloverChange {
        self.share = 0.0;
        self.ended_at = Some(now);
        change
    }
}
