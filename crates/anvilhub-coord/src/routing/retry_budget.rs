use std::time::Duration;

use crate::time::ClockTime;

/// Time after which an unused token expires: tokens earned at a demand peak must not be spent after it.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// Steps in which tokens expire.
const STEP_COUNT: u64 = 10;
/// One hedge or retry, in units that the bucket counts without rounding.
const TOKEN: u64 = 1_000_000;

/// Budget of a service for hedges and retries together.
///
/// Every needed sub-request earns `extra_load` of a token; every hedge or retry costs one. In any time window
/// `[a, b]`, tokens spent are at most one more than `extra_load` times the sub-requests needed in
/// `[a - TOKEN_LIFETIME, b]`, because only one token survives its lifetime, for services with little load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: u64,
    steps: [u64; STEP_COUNT as usize],
    step: u64,
    carried: u64,
}

impl RetryBudget {
    /// A budget without tokens. `extra_load` is hedges and retries per needed sub-request, between 0 and 1.
    pub fn new(extra_load: f64) -> Self {
        Self {
            earned_per_request: (extra_load.clamp(0.0, 1.0) * TOKEN as f64) as u64,
            steps: [0; STEP_COUNT as usize],
            step: 0,
            carried: 0,
        }
    }

    /// Counts a needed sub-request that is sent at `now`. Call it once per sub-request, not per attempt.
    pub fn earn(&mut self, now: ClockTime) {
        self.advance(now);
        self.steps[(self.step % STEP_COUNT) as usize] += self.earned_per_request;
    }

    /// Pays for one hedge or retry, or says that it must not be sent.
    #[must_use]
    pub fn try_spend(&mut self, now: ClockTime) -> bool {
        self.advance(now);
        if self.total() < TOKEN {
            return false;
        }
        let mut due = TOKEN;
        take(&mut self.carried, &mut due);
        for age in (0..STEP_COUNT).rev() {
            let step = (self.step + STEP_COUNT - age) % STEP_COUNT;
            take(&mut self.steps[step as usize], &mut due);
        }
        true
    }

    /// Hedges or retries that the budget would pay for at `now`.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        self.advance(now);
        self.total() / TOKEN
    }

    fn total(&self) -> u64 {
        self.carried + self.steps.iter().sum::<u64>()
    }

    fn advance(&mut self, now: ClockTime) {
        let step_micros = TOKEN_LIFETIME.as_micros() as u64 / STEP_COUNT;
        let target = now.0 / step_micros;
        let turns = target.saturating_sub(self.step).min(STEP_COUNT);
        for turn in 1..=turns {
            let slot = ((target - turns + turn) % STEP_COUNT) as usize;
            self.carried = (self.carried + self.steps[slot]).min(TOKEN);
            self.steps[slot] = 0;
        }
        self.step = self.step.max(target);
    }
}

fn take(from: &mut u64, due: &mut u64) {
    let taken = (*from).min(*due);
    *from -= taken;
    *due -= taken;
}
