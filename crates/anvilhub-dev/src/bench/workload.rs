use std::time::Duration;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fake_upstream::AttemptId;
use super::scenario::RUN_SECONDS;
use super::{Scenario, ServiceLoad};

/// Median service time of a sub-request.
const MEDIAN_SERVICE_MICROS: f64 = 4_000.0;
/// Standard deviation of the logarithm of service times.
const SERVICE_TIME_SIGMA: f64 = 0.4;
/// Fraction of sub-requests in the heavy tail.
const TAIL_PROBABILITY: f64 = 0.005;
/// Minimum factor on the service time in the tail.
const MIN_TAIL_FACTOR: f64 = 4.0;
/// Maximum factor on the service time in the tail.
const MAX_TAIL_FACTOR: f64 = 25.0;
/// Exponent of the tail's Pareto distribution.
const TAIL_EXPONENT: f64 = 1.5;
/// Mean service time that follows from the constants above, used to scale demand.
const MEAN_SERVICE_MICROS: f64 = 4_600.0;
/// Fraction of the slots that steady demand occupies. The peak then needs 1.75 times the number of slots.
const STEADY_UTILIZATION: f64 = 0.35;
/// Probability of a slowdown by a noisy neighbour, per upstream and second.
const NOISY_NEIGHBOUR_PROBABILITY: f64 = 0.02;
/// Duration of that slowdown.
const NOISY_NEIGHBOUR_MICROS: u64 = 300_000;
/// Factor on the service time during that slowdown.
const NOISY_NEIGHBOUR_FACTOR: f64 = 4.0;

/// One query: its intended arrival time, the instance that receives it and its urgency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) time: ClockTime,
    pub(crate) instance: usize,
    pub(crate) urgency: UrgencyClass,
}

/// Generates arrivals and service times. They are the same for every variant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    pub(crate) service: ServiceLoad,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
}

impl Workload {
    /// Generates open-loop arrivals as a Poisson process.
    pub(crate) fn arrivals(&self, instance_count: usize) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let shard_slots =
            f64::from(self.service.slots_per_replica) * self.service.replica_count as f64;
        let steady_rate = STEADY_UTILIZATION * shard_slots / (MEAN_SERVICE_MICROS / 1e6);
        let mut arrivals = Vec::new();
        let mut seconds = 0.0;
        loop {
            let rate = steady_rate * self.scenario.demand_factor(seconds);
            seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
            if seconds >= RUN_SECONDS {
                return arrivals;
            }
            arrivals.push(Arrival {
                time: ClockTime((seconds * 1e6) as u64),
                instance: rng.random_range(0..instance_count),
                urgency: urgency_from_uniform(rng.random()),
            });
        }
    }

    /// Returns the service time of an attempt that starts at `now` on `upstream`.
    pub(crate) fn service_time(
        &self,
        (query, shard, number): AttemptId,
        upstream: usize,
        now: ClockTime,
    ) -> Duration {
        let mut rng = self.seeded_rng([query as u64, shard as u64, number as u64]);
        let mut micros =
            MEDIAN_SERVICE_MICROS * (SERVICE_TIME_SIGMA * sample_normal(&mut rng)).exp();
        if rng.random_bool(TAIL_PROBABILITY) {
            let factor = MIN_TAIL_FACTOR / (1.0 - rng.random::<f64>()).powf(1.0 / TAIL_EXPONENT);
            micros *= factor.min(MAX_TAIL_FACTOR);
        }
        let seconds = now.0 as f64 / 1e6;
        let upstream_count = self.service.shard_count * self.service.replica_count;
        micros *= self
            .scenario
            .slowdown_factor(upstream, upstream_count, seconds);
        if self.has_noisy_neighbour(upstream, now) {
            micros *= NOISY_NEIGHBOUR_FACTOR;
        }
        Duration::from_micros(micros as u64)
    }

    fn has_noisy_neighbour(&self, upstream: usize, now: ClockTime) -> bool {
        let (second, micros) = (now.0 / 1_000_000, now.0 % 1_000_000);
        let mut rng = self.seeded_rng([u64::MAX, upstream as u64, second]);
        rng.random_bool(NOISY_NEIGHBOUR_PROBABILITY) && micros < NOISY_NEIGHBOUR_MICROS
    }

    /// Returns a random generator whose sequence depends only on the seed of the workload and `parts`.
    fn seeded_rng(&self, parts: [u64; 3]) -> SmallRng {
        // Multiplying by odd 64-bit constants makes seeds of neighbouring parts differ in many bits.
        let mixed = parts.iter().fold(self.seed, |seed, part| {
            (seed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        });
        SmallRng::seed_from_u64(mixed)
    }
}

/// Returns the urgency class for a number that is uniformly distributed in `0.0..1.0`: 25% urgent, 50% standard and
/// 25% deferred.
fn urgency_from_uniform(uniform: f64) -> UrgencyClass {
    match uniform {
        fraction if fraction < 0.25 => UrgencyClass::Urgent,
        fraction if fraction < 0.75 => UrgencyClass::Standard,
        _ => UrgencyClass::Deferred,
    }
}

/// Draws a standard normal value by the Box-Muller transform.
fn sample_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
