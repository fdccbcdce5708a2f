use std::time::Duration;

use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::GossipPlan;
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FleetModel, MeasuredSeries};

/// Fleet sizes; the rounds grow with the logarithm, so the fit is over doublings.
const MEMBERS: [usize; 5] = [100, 300, 600, 1_200, 1_900];

/// Seeds of which the slowest run counts.
const RUNS: u64 = 5;

/// Rounds after which a run gives up: 30 s.
const MAX_ROUNDS: u32 = 60;

/// Rounds until a change that one instance knows is known everywhere.
#[derive(Clone, Copy, Debug)]
pub struct SpreadMeasure;

impl SpreadMeasure {
    /// Counts rounds for several fleet sizes with 0%, 10% and 40% of the exchanges lost, and with
    /// 67%, as for a region of three that is cut off and still asks the other two.
    pub fn run(seed: u64) -> Vec<MeasuredSeries> {
        [0.0, 0.1, 0.4, 0.67]
            .into_iter()
            .map(|lost| {
                let quantity = format!(
                    "rounds until all know a change, {:.0}% lost, slowest of {RUNS}",
                    lost * 100.0
                );
                let mut series = MeasuredSeries::new(quantity, "log2(members)");
                for members in MEMBERS {
                    let slowest = (0..RUNS)
                        .map(|run| rounds(members, lost, seed + run * 10_000))
                        .max();
                    let size = (members as f64).log2();
                    series.points.push((size, f64::from(slowest.unwrap_or(0))));
                }
                series
            })
            .collect()
    }
}

fn rounds(members: usize, lost: f64, seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<InstanceId> = (0..members).map(FleetModel::instance).collect();
    let start = ClockTime::from_millis(1_000);
    let mut plans: Vec<GossipPlan> = (0..members as u64)
        .map(|index| GossipPlan::new(seed + index, start))
        .collect();
    let mut knows = vec![false; members];
    knows[0] = true;
    plans[0].announce_change(start);
    for round in 0..MAX_ROUNDS {
        let now = start + Duration::from_millis(500) * round;
        for index in 0..members {
            for peer in plans[index].select_peers(now, &ids) {
                let other = ids.binary_search(&peer).unwrap_or(index);
                if rng.random_bool(lost) || knows[index] == knows[other] {
                    continue;
                }
                let learner = if knows[index] { other } else { index };
                knows[learner] = true;
                plans[learner].announce_change(now);
            }
        }
        if knows.iter().all(|known| *known) {
            return round + 1;
        }
    }
    MAX_ROUNDS
}
