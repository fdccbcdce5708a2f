use std::time::Duration;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use hdrhistogram::Histogram;

use super::Arrival;
use super::scenario::{FAULT_START, PEAK_END, RUN_TIME, WARM_UP};

/// Length of a goodput step.
const STEP_MICROS: u64 = 250_000;
/// Steps in a run, with room for answers after its end.
const STEPS: usize = (RUN_TIME as usize + 2) * 4;
/// Goodput that counts as recovered, as a share of the arrivals of the same time.
const RECOVERED: f64 = 0.95;

/// Figures of one or more runs.
#[derive(Clone, Debug)]
pub struct LoadTally {
    /// Time from intended arrival to answer in microseconds; a refused query counts as its deadline.
    pub latency: Histogram<u64>,
    /// Queries measured.
    pub queries: u64,
    /// Queries answered completely and in time.
    pub complete: u64,
    /// Queries refused as `not_run`.
    pub refused: u64,
    /// Sum of the covered fractions; refused queries cover nothing.
    pub coverage: f64,
    /// Queries and those complete in time by urgency class, during the peak where there is one.
    pub classes: [(u64, u64); 3],
    /// Sub-requests needed and sent.
    pub needed: u64,
    /// Sub-requests sent.
    pub sent: u64,
    /// Messages between entries.
    pub messages: u64,
    /// Non-idempotent sub-requests that ran more than once.
    pub ran_twice: u64,
    /// Needed and sent sub-requests by 250 ms step.
    pub load_steps: Vec<(u64, u64)>,
    /// Arrivals and complete answers in time by 250 ms step of the arrival.
    pub goodput_steps: Vec<(u64, u64)>,
}

impl Default for LoadTally {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are constant"),
            queries: 0,
            complete: 0,
            refused: 0,
            coverage: 0.0,
            classes: [(0, 0); 3],
            needed: 0,
            sent: 0,
            messages: 0,
            ran_twice: 0,
            load_steps: vec![(0, 0); STEPS],
            goodput_steps: vec![(0, 0); STEPS],
        }
    }
}

impl LoadTally {
    pub(crate) fn count_query(
        &mut self,
        arrival: &Arrival,
        latency: Duration,
        coverage: f64,
        limit: Duration,
    ) {
        let good = coverage >= 1.0 && latency <= limit;
        let step = &mut self.goodput_steps[step_of(arrival.time)];
        step.0 += 1;
        step.1 += u64::from(good);
        let seconds = arrival.time.0 as f64 / 1e6;
        if seconds < WARM_UP {
            return;
        }
        self.latency.saturating_record(latency.as_micros() as u64);
        self.queries += 1;
        self.complete += u64::from(good);
        self.coverage += coverage;
        if (FAULT_START..PEAK_END).contains(&seconds) {
            let class = &mut self.classes[class_index(arrival.urgency)];
            class.0 += 1;
            class.1 += u64::from(good);
        }
    }

    pub(crate) fn count_refusal(&mut self, arrival: &Arrival, limit: Duration) {
        self.count_query(arrival, limit, 0.0, limit);
        self.refused += u64::from(arrival.time.0 as f64 / 1e6 >= WARM_UP);
    }

    pub(crate) fn count_attempt(&mut self, now: ClockTime, first: bool) {
        let step = &mut self.load_steps[step_of(now)];
        step.0 += u64::from(first);
        step.1 += 1;
        if now.0 as f64 / 1e6 >= WARM_UP {
            self.needed += u64::from(first);
            self.sent += 1;
        }
    }

    pub(crate) fn count_messages(&mut self, now: ClockTime, count: u64) {
        if now.0 as f64 / 1e6 >= WARM_UP {
            self.messages += count;
        }
    }

    /// Adds the figures of another run.
    pub fn merge(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both have the same bounds");
        self.queries += other.queries;
        self.complete += other.complete;
        self.refused += other.refused;
        self.coverage += other.coverage;
        self.needed += other.needed;
        self.sent += other.sent;
        self.messages += other.messages;
        self.ran_twice += other.ran_twice;
        add_pairs(&mut self.classes, &other.classes);
        add_pairs(&mut self.load_steps, &other.load_steps);
        add_pairs(&mut self.goodput_steps, &other.goodput_steps);
    }

    /// Latency in milliseconds that the fraction `quantile` of the queries does not exceed.
    pub fn millis_at(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Hedges and retries per needed sub-request.
    pub fn extra_load(&self) -> f64 {
        self.sent as f64 / self.needed.max(1) as f64 - 1.0
    }

    /// Greatest extra load in any second after the warm-up.
    pub fn worst_extra_load(&self) -> f64 {
        let first = (WARM_UP * 4.0) as usize;
        let last = RUN_TIME as usize * 4;
        self.load_steps[first..last]
            .windows(4)
            .map(sum_pairs)
            .filter(|(needed, _)| *needed > 0)
            .map(|(needed, sent)| sent as f64 / needed as f64 - 1.0)
            .fold(0.0, f64::max)
    }

    /// Seconds after the peak's end until 95% of a second's arrivals are answered completely and in time.
    pub fn recovery_seconds(&self) -> Option<f64> {
        let end = (PEAK_END * 4.0) as usize;
        let last = RUN_TIME as usize * 4;
        self.goodput_steps[end..last]
            .windows(4)
            .map(sum_pairs)
            .position(|(arrived, good)| good as f64 >= RECOVERED * arrived as f64)
            .map(|step| step as f64 / 4.0)
    }

    /// Share of the queries of `urgency` that were answered completely and in time.
    pub fn in_time(&self, urgency: UrgencyClass) -> f64 {
        let (queries, good) = self.classes[class_index(urgency)];
        good as f64 / queries.max(1) as f64
    }

    /// Covered fraction, averaged over all queries.
    pub fn mean_coverage(&self) -> f64 {
        self.coverage / self.queries.max(1) as f64
    }

    /// Share of queries answered completely and in time.
    pub fn complete_share(&self) -> f64 {
        self.complete as f64 / self.queries.max(1) as f64
    }
}

fn class_index(urgency: UrgencyClass) -> usize {
    match urgency {
        UrgencyClass::Urgent => 0,
        UrgencyClass::Standard => 1,
        UrgencyClass::Deferred => 2,
    }
}

fn step_of(time: ClockTime) -> usize {
    ((time.0 / STEP_MICROS) as usize).min(STEPS - 1)
}

fn add_pairs(to: &mut [(u64, u64)], from: &[(u64, u64)]) {
    for (to, from) in to.iter_mut().zip(from) {
        to.0 += from.0;
        to.1 += from.1;
    }
}

fn sum_pairs(pairs: &[(u64, u64)]) -> (u64, u64) {
    pairs
        .iter()
        .fold((0, 0), |sum, pair| (sum.0 + pair.0, sum.1 + pair.1))
}
