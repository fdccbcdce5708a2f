use std::time::Duration;

use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::GossipPlan;
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FleetModel, MeasuredSeries};

/// Fleet sizes. The number of rounds grows with the logarithm of the size, so the line is fitted over `log2`.
const MEMBER_COUNTS: [usize; 5] = [100, 300, 600, 1_200, 1_900];

/// Number of runs with different seeds, of which the slowest is reported.
const RUN_COUNT: u64 = 5;

/// Maximum number of rounds of a run: 30 s.
const MAX_ROUNDS: u32 = 60;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Measures the number of gossip rounds until a change that one instance knows has reached all instances.
#[derive(Clone, Copy, Debug)]
pub struct SpreadMeasurement;

impl SpreadMeasurement {
    /// Counts rounds for several fleet sizes with 0%, 10%, 40% and 67% of the exchanges lost. 67% stands for a region
    /// that is cut off from two others of the same size: its instances still contact all peers, and two thirds of their
    /// exchanges are lost.
    pub fn run(seed: u64) -> Vec<MeasuredSeries> {
        [0.0, 0.1, 0.4, 0.67]
            .into_iter()
            .map(|loss_rate| {
                let quantity = format!(
                    "rounds until all know a change, {:.0}% lost, slowest of {RUN_COUNT}",
                    loss_rate * 100.0
                );
                let mut series = MeasuredSeries::new(quantity, "log2(members)");
                for member_count in MEMBER_COUNTS {
                    let slowest = (0..RUN_COUNT)
                        .map(|run| count_rounds(member_count, loss_rate, seed + run * 10_000))
                        .max();
                    let size = (member_count as f64).log2();
                    series.points.push((size, f64::from(slowest.unwrap_or(0))));
                }
                series
            })
            .collect()
    }
}

/// Returns the number of rounds until every instance knows the change, or `MAX_ROUNDS` if that takes longer.
fn count_rounds(member_count: usize, loss_rate: f64, seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<InstanceId> = (0..member_count).map(FleetModel::instance_id).collect();
    let start = ClockTime::from_millis(1_000);
    let mut plans: Vec<GossipPlan> = (0..member_count as u64)
        .map(|index| GossipPlan::new(seed + index, start))
        .collect();
    let mut is_informed = vec![false; member_count];
    is_informed[0] = true;
    plans[0].record_change(start);
    for round in 0..MAX_ROUNDS {
        let now = start + ROUND_INTERVAL * round;
        for index in 0..member_count {
            for peer in plans[index].select_peers(now, &ids) {
                // The ids are sorted, because their numbers have a fixed width.
                let peer_index = ids.binary_search(&peer).unwrap_or(index);
                if rng.random_bool(loss_rate) || is_informed[index] == is_informed[peer_index] {
                    continue;
                }
                let learner = if is_informed[index] {
                    peer_index
                } else {
                    index
                };
                is_informed[learner] = true;
                plans[learner].record_change(now);
            }
        }
        if is_informed.iter().all(|informed| *informed) {
            return round + 1;
        }
    }
    MAX_ROUNDS
}
