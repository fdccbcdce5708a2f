//! The order of events that could happen at once.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seed of random orders and inputs when `ANVILHUB_SEED` names none.
const DEFAULT_SEED: u64 = 20_260_104;

/// The seed of this run.
pub fn test_seed() -> u64 {
    let named = std::env::var("ANVILHUB_SEED").ok();
    named.map_or(DEFAULT_SEED, |text| {
        text.parse().expect("ANVILHUB_SEED is a number")
    })
}

/// Which of several possible events comes next.
pub struct EventOrder {
    random: Option<SmallRng>,
}

impl EventOrder {
    /// The order in which the events arose.
    pub fn first() -> Self {
        Self { random: None }
    }

    /// A random order.
    pub fn random(seed: u64) -> Self {
        Self {
            random: Some(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Chooses one of `count` events.
    pub fn pick(&mut self, count: usize) -> usize {
        match &mut self.random {
            Some(random) => random.random_range(0..count),
            None => 0,
        }
    }
}
