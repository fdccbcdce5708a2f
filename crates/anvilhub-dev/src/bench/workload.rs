use std::time::Duration;

use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::RUN_TIME;
use super::{Desk, Scenario};

/// Median service time of a sub-request.
const MEDIAN_SERVICE: f64 = 4_000.0;
/// Spread of the logarithm of service times.
const SERVICE_SPREAD: f64 = 0.4;
/// Share of sub-requests in the heavy tail, and the least and greatest factor on them.
const TAIL_SHARE: f64 = 0.005;
const TAIL_FACTORS: (f64, f64) = (4.0, 25.0);
/// Exponent of the tail's Pareto distribution.
const TAIL_EXPONENT: f64 = 1.5;
/// Mean service time in microseconds that the figures above give, used to scale demand.
const MEAN_SERVICE: f64 = 4_600.0;
/// Share of the slots that steady demand occupies. The peak then needs 1.75 times all slots.
const STEADY_USE: f64 = 0.35;
/// Chance per upstream and second of a slowdown by neighbours, its length and its factor.
const NEIGHBOUR_CHANCE: f64 = 0.02;
const NEIGHBOUR_MICROS: u64 = 300_000;
const NEIGHBOUR_FACTOR: f64 = 4.0;

/// One query, at its intended arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) time: ClockTime,
    pub(crate) entry: usize,
    pub(crate) urgency: UrgencyClass,
}

/// Arrivals and service times, the same for every variant of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    pub(crate) desk: Desk,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
}

impl Workload {
    /// Open-loop arrivals of a Poisson process.
    pub(crate) fn arrivals(&self, entries: usize) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let slots = f64::from(self.desk.slots) * self.desk.replicas as f64;
        let steady = STEADY_USE * slots / (MEAN_SERVICE / 1e6);
        let mut arrivals = Vec::new();
        let mut seconds = 0.0;
        loop {
            let rate = steady * self.scenario.demand(seconds);
            seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
            if seconds >= RUN_TIME {
                return arrivals;
            }
            arrivals.push(Arrival {
                time: ClockTime((seconds * 1e6) as u64),
                entry: rng.random_range(0..entries),
                urgency: urgency_of(rng.random()),
            });
        }
    }

    /// Service time of an attempt of a sub-request that starts at `now` on `upstream`.
    pub(crate) fn service_time(
        &self,
        (query, shard, attempt): (usize, usize, usize),
        upstream: usize,
        now: ClockTime,
    ) -> Duration {
        let mut rng = self.rng_for([query as u64, shard as u64, attempt as u64]);
        let mut micros = MEDIAN_SERVICE * (SERVICE_SPREAD * normal(&mut rng)).exp();
        if rng.random_bool(TAIL_SHARE) {
            let (least, greatest) = TAIL_FACTORS;
            let factor = least / (1.0 - rng.random::<f64>()).powf(1.0 / TAIL_EXPONENT);
            micros *= factor.min(greatest);
        }
        let seconds = now.0 as f64 / 1e6;
        let count = self.desk.shards * self.desk.replicas;
        micros *= self.scenario.slowness(upstream, count, seconds);
        if self.is_disturbed(upstream, now) {
            micros *= NEIGHBOUR_FACTOR;
        }
        Duration::from_micros(micros as u64)
    }

    fn is_disturbed(&self, upstream: usize, now: ClockTime) -> bool {
        let (second, micros) = (now.0 / 1_000_000, now.0 % 1_000_000);
        let mut rng = self.rng_for([u64::MAX, upstream as u64, second]);
        rng.random_bool(NEIGHBOUR_CHANCE) && micros < NEIGHBOUR_MICROS
    }

    fn rng_for(&self, parts: [u64; 3]) -> SmallRng {
        // Odd constants of 64 bits spread the parts over the seed, so that neighbours differ.
        let mixed = parts.iter().fold(self.seed, |seed, part| {
            (seed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        });
        SmallRng::seed_from_u64(mixed)
    }
}

fn urgency_of(uniform: f64) -> UrgencyClass {
    match uniform {
        share if share < 0.25 => UrgencyClass::Urgent,
        share if share < 0.75 => UrgencyClass::Standard,
        _ => UrgencyClass::Deferred,
    }
}

/// A standard normal value by the Box-Muller method.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
