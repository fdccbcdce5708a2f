use std::time::Duration;

use super::SubRequestState;

/// What to do with the parts that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutoffVerdict {
    /// Wait for further parts.
    Wait,
    /// Answer with the parts that have arrived.
    Answer,
    /// The parts that can still arrive are too few for an answer.
    Hopeless,
}

/// Decides when a gathered answer is complete enough.
///
/// Answers the load pattern of many shards of which some pause or are slow at any moment: an answer within the
/// caller's aim with one shard missing is worth more than a complete one after it, and once the aim has passed
/// a complete one is worth the wait again, within a bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatherCutoff {
    /// Parts that an answer needs at least.
    pub least_parts: usize,
    /// Time after arrival at which the answer must leave to reach the caller within its aim; zero when the
    /// aim has passed already.
    pub aim_left: Duration,
    /// Time after arrival at which the answer must leave to reach the caller at all.
    pub time_left: Duration,
}

/// How far beyond the aim a complete answer is waited for, as a multiple of the aim.
const LATE_PATIENCE: f64 = 2.0;
/// Time after the cut within which an answer still counts as sent at the cut. A busy instance wakes late.
const WAKE_SLACK: Duration = Duration::from_millis(10);

impl GatherCutoff {
    /// The verdict `waited` after the request arrived.
    pub fn verdict(&self, parts: &[SubRequestState], waited: Duration) -> CutoffVerdict {
        let count = |wanted: SubRequestState| parts.iter().filter(|part| **part == wanted).count();
        let done = count(SubRequestState::Done);
        let waiting = count(SubRequestState::Waiting);
        let doubtful = count(SubRequestState::Doubtful);
        if done + waiting + doubtful < self.least_parts {
            return CutoffVerdict::Hopeless;
        }
        if done < self.least_parts {
            return match waited >= self.time_left {
                true => CutoffVerdict::Hopeless,
                false => CutoffVerdict::Wait,
            };
        }
        let is_settled = waiting == 0;
        let is_at_aim = waited >= self.aim_left && waited < self.aim_left + WAKE_SLACK;
        match is_settled || is_at_aim || waited >= self.late_cut() {
            true => CutoffVerdict::Answer,
            false => CutoffVerdict::Wait,
        }
    }

    /// The next time after arrival at which an incomplete answer is sent, for the timer.
    pub fn next_cut(&self, waited: Duration) -> Duration {
        let cuts = [self.aim_left, self.late_cut()];
        let next = cuts.into_iter().find(|cut| waited < *cut);
        next.unwrap_or(self.time_left)
    }

    fn late_cut(&self) -> Duration {
        self.aim_left.mul_f64(LATE_PATIENCE).min(self.time_left)
    }
}
