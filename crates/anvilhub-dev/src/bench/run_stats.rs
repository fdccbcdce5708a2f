use std::time::Duration;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use hdrhistogram::Histogram;

use super::Arrival;
use super::scenario::{FAULT_START_SECONDS, PEAK_END_SECONDS, RUN_SECONDS, WARM_UP_SECONDS};

/// Number of steps of the load and goodput series per second.
pub(super) const STEPS_PER_SECOND: usize = 4;
/// Duration of one step of these series.
const STEP_MICROS: u64 = 1_000_000 / STEPS_PER_SECOND as u64;
/// Number of steps in a run, including two seconds for answers after its end.
const STEP_COUNT: usize = (RUN_SECONDS as usize + 2) * STEPS_PER_SECOND;
/// Ratio of goodput to arrivals at which a run counts as recovered.
const RECOVERY_RATIO: f64 = 0.95;

/// Statistics of one or more runs.
#[derive(Clone, Debug)]
pub struct RunStats {
    /// Time from intended arrival to answer in microseconds; a refused query counts with the caller's timeout.
    pub latency: Histogram<u64>,
    /// Number of measured queries.
    pub query_count: u64,
    /// Measured good queries. A query is good if it is answered completely and in time.
    pub good_count: u64,
    /// Measured queries that were refused as `not_run`.
    pub refused_count: u64,
    /// Sum of the covered fractions of the measured queries; refused queries cover nothing.
    pub coverage_sum: f64,
    /// Queries that arrived between the start of the fault and the end of the peak, and the good ones among them, by
    /// urgency class.
    pub urgency_counts: [(u64, u64); 3],
    /// First attempts, one per sub-request.
    pub first_attempt_count: u64,
    /// All attempts, including hedges and retries.
    pub attempt_count: u64,
    /// Messages between instances.
    pub message_count: u64,
    /// Non-idempotent sub-requests that ran more than once.
    pub repeated_run_count: u64,
    /// First attempts and all attempts by 250 ms step.
    pub load_steps: Vec<(u64, u64)>,
    /// Arrivals and good queries by 250 ms step of the arrival.
    pub goodput_steps: Vec<(u64, u64)>,
}

impl Default for RunStats {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are constant"),
            query_count: 0,
            good_count: 0,
            refused_count: 0,
            coverage_sum: 0.0,
            urgency_counts: [(0, 0); 3],
            first_attempt_count: 0,
            attempt_count: 0,
            message_count: 0,
            repeated_run_count: 0,
            load_steps: vec![(0, 0); STEP_COUNT],
            goodput_steps: vec![(0, 0); STEP_COUNT],
        }
    }
}

impl RunStats {
    /// Records a query that was answered after `latency`; an answer within `time_limit` is in time.
    pub(crate) fn record_query(
        &mut self,
        arrival: &Arrival,
        latency: Duration,
        coverage: f64,
        time_limit: Duration,
    ) {
        let is_good = coverage >= 1.0 && latency <= time_limit;
        let step = &mut self.goodput_steps[step_index(arrival.time)];
        step.0 += 1;
        step.1 += u64::from(is_good);
        let seconds = arrival.time.0 as f64 / 1e6;
        if seconds < WARM_UP_SECONDS {
            return;
        }
        self.latency.saturating_record(latency.as_micros() as u64);
        self.query_count += 1;
        self.good_count += u64::from(is_good);
        self.coverage_sum += coverage;
        if (FAULT_START_SECONDS..PEAK_END_SECONDS).contains(&seconds) {
            let class = &mut self.urgency_counts[class_index(arrival.urgency)];
            class.0 += 1;
            class.1 += u64::from(is_good);
        }
    }

    /// Records a refused query. Its caller waits until `time_limit`.
    pub(crate) fn record_refusal(&mut self, arrival: &Arrival, time_limit: Duration) {
        self.record_query(arrival, time_limit, 0.0, time_limit);
        self.refused_count += u64::from(arrival.time.0 as f64 / 1e6 >= WARM_UP_SECONDS);
    }

    /// Records an attempt; `is_first` is false for hedges and retries.
    pub(crate) fn record_attempt(&mut self, now: ClockTime, is_first: bool) {
        let step = &mut self.load_steps[step_index(now)];
        step.0 += u64::from(is_first);
        step.1 += 1;
        if now.0 as f64 / 1e6 >= WARM_UP_SECONDS {
            self.first_attempt_count += u64::from(is_first);
            self.attempt_count += 1;
        }
    }

    /// Records messages between instances.
    pub(crate) fn record_messages(&mut self, now: ClockTime, count: u64) {
        if now.0 as f64 / 1e6 >= WARM_UP_SECONDS {
            self.message_count += count;
        }
    }

    /// Adds the statistics of another run.
    pub fn merge(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both have the same bounds");
        self.query_count += other.query_count;
        self.good_count += other.good_count;
        self.refused_count += other.refused_count;
        self.coverage_sum += other.coverage_sum;
        self.first_attempt_count += other.first_attempt_count;
        self.attempt_count += other.attempt_count;
        self.message_count += other.message_count;
        self.repeated_run_count += other.repeated_run_count;
        add_pairs(&mut self.urgency_counts, &other.urgency_counts);
        add_pairs(&mut self.load_steps, &other.load_steps);
        add_pairs(&mut self.goodput_steps, &other.goodput_steps);
    }

    /// Returns the `quantile` of the latency in milliseconds.
    pub fn latency_millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of hedges and retries per sub-request.
    pub fn extra_load(&self) -> f64 {
        self.attempt_count as f64 / self.first_attempt_count.max(1) as f64 - 1.0
    }

    /// Returns the maximum extra load in any second after the warm-up.
    pub fn max_extra_load(&self) -> f64 {
        let first = (WARM_UP_SECONDS * STEPS_PER_SECOND as f64) as usize;
        let last = RUN_SECONDS as usize * STEPS_PER_SECOND;
        self.load_steps[first..last]
            .windows(STEPS_PER_SECOND)
            .map(sum_pairs)
            .filter(|(first, _)| *first > 0)
            .map(|(first, all)| all as f64 / first as f64 - 1.0)
            .fold(0.0, f64::max)
    }

    /// Returns the seconds after the peak's end until 95% of a second's arrivals are good queries.
    pub fn recovery_seconds(&self) -> Option<f64> {
        let end = (PEAK_END_SECONDS * STEPS_PER_SECOND as f64) as usize;
        let last = RUN_SECONDS as usize * STEPS_PER_SECOND;
        self.goodput_steps[end..last]
            .windows(STEPS_PER_SECOND)
            .map(sum_pairs)
            .position(|(arrived, good)| good as f64 >= RECOVERY_RATIO * arrived as f64)
            .map(|step| step as f64 / STEPS_PER_SECOND as f64)
    }

    /// Returns the fraction of good queries among the queries of `urgency` that arrived between the start of the fault
    /// and the end of the peak.
    pub fn good_fraction_by_urgency(&self, urgency: UrgencyClass) -> f64 {
        let (queries, good) = self.urgency_counts[class_index(urgency)];
        good as f64 / queries.max(1) as f64
    }

    /// Returns the mean coverage of all queries.
    pub fn mean_coverage(&self) -> f64 {
        self.coverage_sum / self.query_count.max(1) as f64
    }

    /// Returns the fraction of good queries among the measured queries.
    pub fn good_fraction(&self) -> f64 {
        self.good_count as f64 / self.query_count.max(1) as f64
    }
}

fn class_index(urgency: UrgencyClass) -> usize {
    match urgency {
        UrgencyClass::Urgent => 0,
        UrgencyClass::Standard => 1,
        UrgencyClass::Deferred => 2,
    }
}

fn step_index(time: ClockTime) -> usize {
    ((time.0 / STEP_MICROS) as usize).min(STEP_COUNT - 1)
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
