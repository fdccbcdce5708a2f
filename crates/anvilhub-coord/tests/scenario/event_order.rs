//! The order in which a simulation handles events that are possible at the same time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seed of random orders and inputs if `ANVILHUB_SEED` is not set.
const DEFAULT_SEED: u64 = 20_260_104;

/// Returns the seed of this test run.
pub fn test_seed() -> u64 {
    let variable = std::env::var("ANVILHUB_SEED").ok();
    variable.map_or(DEFAULT_SEED, |text| {
        text.parse().expect("ANVILHUB_SEED is a number")
    })
}

/// Chooses which of several possible events is handled next.
pub struct EventOrder {
    random: Option<SmallRng>,
}

impl EventOrder {
    /// Handles events in the order in which they were created.
    pub fn in_order() -> Self {
        Self { random: None }
    }

    /// Handles events in a random order.
    pub fn random(seed: u64) -> Self {
        Self {
            random: Some(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns the index of the next of `count` events.
    pub fn pick(&mut self, count: usize) -> usize {
        match &mut self.random {
            Some(random) => random.random_range(0..count),
            None => 0,
        }
    }
}
