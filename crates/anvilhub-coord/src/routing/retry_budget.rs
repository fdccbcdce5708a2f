use std::time::Duration;

use crate::time::ClockTime;

/// Window within which spending is bounded, and after which unused tokens expire: tokens earned at a demand
/// peak must not be spent after it.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Steps of a window.
const WINDOW_STEPS: u64 = 10;
/// Steps kept: the present one is not over, so a whole window reaches into one more step.
const STEP_COUNT: u64 = WINDOW_STEPS + 1;
/// One hedge or retry, in units that are counted without rounding.
const TOKEN: u64 = 1_000_000;
/// Percent of what a sub-request earns that stay with the instance that forwards it to an owner. They pay for
/// sending it again when the owner is lost; the owner earns the rest.
const SENDER_PERCENT: u64 = 25;

/// Budget of a service for hedges and retries together.
///
/// Every needed sub-request earns `extra_load` of a token; every hedge or retry costs one. Within the
/// `BUDGET_WINDOW` that ends at a hedge or retry, those sent cost no more than the needed sub-requests of the
/// same window earned. A service that earns less than one token in a window saves up to a single one. In any
/// longer time `[a, b]`, at most one more token is spent than was earned in `[a - BUDGET_WINDOW, b]`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: u64,
    steps: [BudgetStep; STEP_COUNT as usize],
    step: u64,
    step_micros: u64,
    saved: u64,
    /// Tokens that every window may spend beyond what it earned; `None` when tokens are saved instead.
    slack: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetStep {
    earned: u64,
    spent: u64,
}

impl RetryBudget {
    /// A budget without tokens. `extra_load` is hedges and retries per needed sub-request, between 0 and 1.
    pub fn new(extra_load: f64) -> Self {
        Self {
            earned_per_request: (extra_load.clamp(0.0, 1.0) * TOKEN as f64) as u64,
            steps: [BudgetStep::default(); STEP_COUNT as usize],
            step: 0,
            step_micros: BUDGET_WINDOW.as_micros() as u64 / WINDOW_STEPS,
            saved: 0,
            slack: None,
        }
    }

    /// A budget that bounds every `window`: what is spent within one is at most what the needed sub-requests of
    /// the same window earned, and `slack` tokens.
    pub fn with_window(extra_load: f64, window: Duration, slack: u32) -> Self {
        Self {
            step_micros: (window.as_micros() as u64 / WINDOW_STEPS).max(1),
            slack: Some(u64::from(slack) * TOKEN),
            ..Self::new(extra_load)
        }
    }

    /// Counts a needed sub-request that is sent at `now`. Call it once per sub-request, not per attempt.
    pub fn earn(&mut self, now: ClockTime) {
        self.add(now, 100);
    }

    /// Counts a sub-request that is forwarded to an owner. Sending it directly later earns nothing more.
    pub fn earn_as_sender(&mut self, now: ClockTime) {
        self.add(now, SENDER_PERCENT);
    }

    /// Counts a sub-request that the owner sends for another instance.
    pub fn earn_as_owner(&mut self, now: ClockTime) {
        self.add(now, 100 - SENDER_PERCENT);
    }

    fn add(&mut self, now: ClockTime, percent: u64) {
        self.advance(now);
        let earned = self.earned_per_request * percent / 100;
        self.current().earned += earned;
        self.saved = self.saved.saturating_add(earned);
    }

    /// Pays for one hedge or retry, or says that it must not be sent.
    #[must_use]
    pub fn try_spend(&mut self, now: ClockTime) -> bool {
        if !self.can_spend(now) {
            return false;
        }
        self.current().spent += TOKEN;
        self.saved = self.saved.saturating_sub(TOKEN);
        true
    }

    /// Says whether `try_spend` would pay at `now`.
    pub fn can_spend(&mut self, now: ClockTime) -> bool {
        self.advance(now);
        let (earned, spent) = self.window();
        match self.slack {
            None => self.saved >= TOKEN && spent + TOKEN <= earned.max(TOKEN),
            Some(slack) => spent + TOKEN <= earned + slack,
        }
    }

    /// What was surely earned within the window that ends now, and what may have been spent within it.
    fn window(&self) -> (u64, u64) {
        let oldest = ((self.step + 1) % STEP_COUNT) as usize;
        let earned: u64 = self.steps.iter().map(|step| step.earned).sum();
        let spent = self.steps.iter().map(|step| step.spent).sum();
        (earned - self.steps[oldest].earned, spent)
    }

    fn current(&mut self) -> &mut BudgetStep {
        &mut self.steps[(self.step % STEP_COUNT) as usize]
    }

    fn advance(&mut self, now: ClockTime) {
        let target = now.0 / self.step_micros;
        if target <= self.step {
            return;
        }
        let turns = (target - self.step).min(STEP_COUNT);
        for turn in 0..turns {
            self.steps[((target - turn) % STEP_COUNT) as usize] = BudgetStep::default();
        }
        self.step = target;
        let (earned, _) = self.window();
        self.saved = self.saved.min(earned.max(TOKEN));
    }
}
