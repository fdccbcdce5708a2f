use std::time::Duration;

use super::SubRequestState;

/// What to do with a gathered answer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutoffVerdict {
    /// Wait for further sub-requests.
    Wait,
    /// Answer with the sub-requests that are done.
    Answer,
    /// Too few sub-requests are done or can still be done for an answer.
    Fail,
}

/// Decides when a gathered answer is complete enough to send.
///
/// Designed for many shards of which some are paused or slow at any moment: an answer within the caller's latency
/// target with one shard missing is worth more than a complete one after it. Once the target has passed, a bounded
/// wait for a complete answer is worthwhile again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatherCutoff {
    /// Minimum number of sub-requests that must be done for an answer.
    pub min_sub_requests: usize,
    /// Time after arrival at which the answer must leave to reach the caller within its latency target; zero if
    /// the target is already missed.
    pub target_cutoff: Duration,
    /// Time after arrival at which the answer must leave to reach the caller at all.
    pub final_cutoff: Duration,
}

/// Time after arrival until which an answer waits for missing shards once the target has passed, as a multiple of
/// `target_cutoff`.
const LATE_CUTOFF_FACTOR: f64 = 2.0;
/// Time after the first cutoff within which an incomplete answer is still sent, since timers of a busy instance fire
/// late.
const TIMER_TOLERANCE: Duration = Duration::from_millis(10);

impl GatherCutoff {
    /// Returns the verdict for sub-requests in these states, `waited` after the request arrived.
    pub fn verdict(&self, states: &[SubRequestState], waited: Duration) -> CutoffVerdict {
        let count =
            |wanted: SubRequestState| states.iter().filter(|state| **state == wanted).count();
        let done = count(SubRequestState::Done);
        let waiting = count(SubRequestState::Waiting);
        let suspect = count(SubRequestState::Suspect);
        if done + waiting + suspect < self.min_sub_requests {
            return CutoffVerdict::Fail;
        }
        if done < self.min_sub_requests {
            return match waited >= self.final_cutoff {
                true => CutoffVerdict::Fail,
                false => CutoffVerdict::Wait,
            };
        }
        let is_settled = waiting == 0;
        let is_at_target =
            waited >= self.target_cutoff && waited < self.target_cutoff + TIMER_TOLERANCE;
        match is_settled || is_at_target || waited >= self.late_cutoff() {
            true => CutoffVerdict::Answer,
            false => CutoffVerdict::Wait,
        }
    }

    /// Returns the next time after arrival at which an incomplete answer may be sent, for setting a timer.
    pub fn next_cutoff(&self, waited: Duration) -> Duration {
        let cutoffs = [self.target_cutoff, self.late_cutoff()];
        let next = cutoffs.into_iter().find(|cutoff| waited < *cutoff);
        next.unwrap_or(self.final_cutoff)
    }

    fn late_cutoff(&self) -> Duration {
        self.target_cutoff
            .mul_f64(LATE_CUTOFF_FACTOR)
            .min(self.final_cutoff)
    }
}
