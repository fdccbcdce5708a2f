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
const RUNS: u64 = 5;

/// Maximum number of rounds of a run: 30 s.
const MAX_ROUNDS: u32 = 60;

/// Number of gossip rounds until a change that one instance knows has reached all instances.
#[derive(Clone, Copy, Debug)]
pub struct SpreadMeasurement;

impl SpreadMeasurement {
    /// Counts rounds for several fleet sizes with 0%, 10%, 40% and 67% of the exchanges lost. 67% corresponds to one of
    /// three regions that is partitioned from the others and still contacts them.
    pub fn run(seed: u64) -> Vec<MeasuredSeries> {
        [0.0, 0.1, 0.4, 0.67]
            .into_iter()
            .map(|loss_rate| {
                let quantity = format!(
                    "rounds until all know a change, {:.0}% lost, slowest of {RUNS}",
                    loss_rate * 100.0
                );
                let mut series = MeasuredSeries::new(quantity, "log2(members)");
                for members in MEMBER_COUNTS {
                    let slowest = (0..RUNS)
                        .map(|run| count_rounds(members, loss_rate, seed + run * 10_000))
                        .max();
                    let size = (members as f64).log2();
                    series.points.push((size, f64::from(slowest.unwrap_or(0))));
                }
                series
            })
            .collect()
    }
}

fn count_rounds(members: usize, loss_rate: f64, seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<InstanceId> = (0..members).map(FleetModel::instance_id).collect();
    let start = ClockTime::from_millis(1_000);
    let mut plans: Vec<GossipPlan> = (0..members as u64)
        .map(|index| GossipPlan::new(seed + index, start))
        .collect();
    let mut knows = vec![false; members];
    knows[0] = true;
    plans[0].record_change(start);
    for round in 0..MAX_ROUNDS {
        let now = start + Duration::from_millis(500) * round;
        for index in 0..members {
            for peer in plans[index].select_peers(now, &ids) {
                let peer_index = ids.binary_search(&peer).unwrap_or(index);
                if rng.random_bool(loss_rate) || knows[index] == knows[peer_index] {
                    continue;
                }
                let learner = if knows[index] { peer_index } else { index };
                knows[learner] = true;
                plans[learner].record_change(now);
            }
        }
        if knows.iter().all(|known| *known) {
            return round + 1;
        }
    }
    MAX_ROUNDS
}
