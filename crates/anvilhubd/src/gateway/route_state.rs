use std::time::Duration;

use anvilhub_coord::gateway::{CallerAim, CallerWay, SplitWheel};
use anvilhub_coord::routing::{HedgePolicy, LatencyWindow};
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// Part of the aim after which an attempt is late while too few answers are known.
const UNKNOWN_DELAY: f64 = 0.45;
/// Part of the aim that an answer usually takes while too few answers are known.
const UNKNOWN_USUAL: f64 = 0.12;
/// Longest part of the aim for which a hedge waits.
const MOST_DELAY: f64 = 0.45;

/// What one instance has observed of a route. It outlives the versions of the configuration.
#[derive(Default)]
pub(super) struct RouteState {
    aim: LockCell<CallerAim>,
    way: LockCell<CallerWay>,
    pub(super) wheel: LockCell<SplitWheel>,
    answers: LockCell<LatencyWindow>,
}

impl RouteState {
    /// Takes in the time left that a request states, and returns what its caller had waited before, and the time to
    /// keep for the way back to it, at most `most_way`.
    pub(super) fn caller_times(
        &self,
        stated: Duration,
        timeout: Duration,
        most_way: Duration,
    ) -> (Duration, Duration) {
        let waited = self.aim.with(|aim| aim.waited_before(stated, timeout));
        let way = self.way.with(|way| {
            way.observe(waited, timeout);
            way.time(most_way)
        });
        (waited, way)
    }

    /// Takes in the time of an answer to an attempt.
    pub(super) fn record(&self, now: ClockTime, time: Duration) {
        self.answers.with(|answers| answers.record(now, time));
    }

    /// Usual time of an answer, and the time after which a hedge is due.
    pub(super) fn delays(&self, aim: Duration, quantile: f64) -> (Duration, Duration) {
        let policy = HedgePolicy::new(quantile);
        let (usual, late) = self.answers.with(|answers| {
            let usual = match answers.len() {
                0..8 => None,
                _ => answers.quantile(0.5),
            };
            (usual, policy.delay(answers, answers))
        });
        let late = late.unwrap_or(aim.mul_f64(UNKNOWN_DELAY));
        (
            usual.unwrap_or(aim.mul_f64(UNKNOWN_USUAL)),
            late.min(aim.mul_f64(MOST_DELAY)),
        )
    }
}
