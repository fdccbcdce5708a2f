use std::time::Duration;

use crate::time::ClockTime;

/// Window within which spending is bounded and after which unused tokens expire, so that tokens earned during a
/// demand peak cannot be spent after it.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Number of steps that a window is divided into.
const STEPS_PER_WINDOW: u64 = 10;
/// Number of steps kept. The current step has not ended, so a whole window extends into one more step.
const STEP_COUNT: u64 = STEPS_PER_WINDOW + 1;
/// Cost of one hedge or retry in microtokens, millionths of a token. All amounts have this unit, so that fractions of a
/// token are counted as integers.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
/// Percentage of a sub-request's earnings that goes to the instance that forwards it to an owner. It pays for
/// sending the sub-request again if the owner fails. The owner earns the rest.
const SENDER_EARNINGS_PERCENT: u64 = 25;

/// Budget of a service for hedges and retries together.
///
/// Every sub-request earns the fraction `extra_load` of a token, once; every hedge or retry costs one token. Within
/// the `BUDGET_WINDOW` that ends at a hedge or retry, the hedges and retries cost at most what the sub-requests of
/// the same window earned. A service that earns less than one token per window saves up to one token. In any
/// longer time `[a, b]`, at most one more token is spent than was earned in `[a - BUDGET_WINDOW, b]`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Earnings of a sub-request.
    microtokens_per_sub_request: u64,
    steps: [BudgetStep; STEP_COUNT as usize],
    /// Number of the current step, counted from the start of the clock.
    current_step: u64,
    /// Length of a step in microseconds.
    step_micros: u64,
    /// Saved amount.
    saved_microtokens: u64,
    /// Amount that every window may spend beyond its earnings. `None` if tokens are saved instead.
    slack_microtokens: Option<u64>,
}

/// Earnings and spending of one step.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetStep {
    earned_microtokens: u64,
    spent_microtokens: u64,
}

impl RetryBudget {
    /// Creates an empty budget. `extra_load` is the number of hedges and retries per sub-request, between 0 and 1.
    pub fn new(extra_load: f64) -> Self {
        Self {
            microtokens_per_sub_request: (extra_load.clamp(0.0, 1.0) * MICROTOKENS_PER_TOKEN as f64)
                as u64,
            steps: [BudgetStep::default(); STEP_COUNT as usize],
            current_step: 0,
            step_micros: BUDGET_WINDOW.as_micros() as u64 / STEPS_PER_WINDOW,
            saved_microtokens: 0,
            slack_microtokens: None,
        }
    }

    /// Creates a budget that bounds every `window`: at most the earnings of the window's sub-requests and
    /// `slack_tokens` further tokens are spent within it.
    pub fn with_window(extra_load: f64, window: Duration, slack_tokens: u32) -> Self {
        Self {
            step_micros: (window.as_micros() as u64 / STEPS_PER_WINDOW).max(1),
            slack_microtokens: Some(u64::from(slack_tokens) * MICROTOKENS_PER_TOKEN),
            ..Self::new(extra_load)
        }
    }

    /// Adds the earnings of a sub-request that is sent at `now`. Call this once per sub-request, not per attempt.
    pub fn earn(&mut self, now: ClockTime) {
        self.add_earnings(now, 100);
    }

    /// Adds the sender's part of the earnings of a sub-request that is forwarded to an owner. Nothing more is
    /// earned if it is sent directly later.
    pub fn earn_as_sender(&mut self, now: ClockTime) {
        self.add_earnings(now, SENDER_EARNINGS_PERCENT);
    }

    /// Adds the owner's part of the earnings of a sub-request that it sends for another instance.
    pub fn earn_as_owner(&mut self, now: ClockTime) {
        self.add_earnings(now, 100 - SENDER_EARNINGS_PERCENT);
    }

    fn add_earnings(&mut self, now: ClockTime, percent: u64) {
        self.advance(now);
        let earned = self.microtokens_per_sub_request * percent / 100;
        self.current_step_mut().earned_microtokens += earned;
        self.saved_microtokens = self.saved_microtokens.saturating_add(earned);
    }

    /// Spends a token for one hedge or retry. Returns `false` if there is none, in which case the hedge or retry
    /// must not be sent.
    #[must_use]
    pub fn try_spend(&mut self, now: ClockTime) -> bool {
        if !self.can_spend(now) {
            return false;
        }
        self.current_step_mut().spent_microtokens += MICROTOKENS_PER_TOKEN;
        self.saved_microtokens = self.saved_microtokens.saturating_sub(MICROTOKENS_PER_TOKEN);
        true
    }

    /// Returns whether `try_spend` would succeed at `now`.
    pub fn can_spend(&mut self, now: ClockTime) -> bool {
        self.advance(now);
        let (earned, spent) = self.window_totals();
        match self.slack_microtokens {
            None => {
                self.saved_microtokens >= MICROTOKENS_PER_TOKEN
                    && spent + MICROTOKENS_PER_TOKEN <= earned.max(MICROTOKENS_PER_TOKEN)
            }
            Some(slack) => spent + MICROTOKENS_PER_TOKEN <= earned + slack,
        }
    }

    /// Returns a lower bound of the earnings and an upper bound of the spending of the window that ends in the current
    /// step.
    fn window_totals(&self) -> (u64, u64) {
        let oldest = ((self.current_step + 1) % STEP_COUNT) as usize;
        let earned: u64 = self.steps.iter().map(|step| step.earned_microtokens).sum();
        let spent = self.steps.iter().map(|step| step.spent_microtokens).sum();
        (earned - self.steps[oldest].earned_microtokens, spent)
    }

    fn current_step_mut(&mut self) -> &mut BudgetStep {
        &mut self.steps[(self.current_step % STEP_COUNT) as usize]
    }

    /// Makes the step that contains `now` the current one, drops the steps that have left the window, and limits the
    /// saved tokens to the earnings of the window.
    fn advance(&mut self, now: ClockTime) {
        let next_step = now.0 / self.step_micros;
        if next_step <= self.current_step {
            return;
        }
        let expired_count = (next_step - self.current_step).min(STEP_COUNT);
        for offset in 0..expired_count {
            self.steps[((next_step - offset) % STEP_COUNT) as usize] = BudgetStep::default();
        }
        self.current_step = next_step;
        let (earned, _) = self.window_totals();
        self.saved_microtokens = self
            .saved_microtokens
            .min(earned.max(MICROTOKENS_PER_TOKEN));
    }
}
