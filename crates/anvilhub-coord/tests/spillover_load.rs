//! Guards against callers who wait at full or faulty upstreams of their failure domain, against moving an overload to the
//! next domain, and against oscillation, for fleets of several sizes.

use crate::spillover_replay::{Policy, SEED, replay};

/// Number of replays whose quantiles are averaged.
const SEED_COUNT: u64 = 10;

/// Callers of the small domain waited at home for slots that were free elsewhere. What leaves must not overload the next
/// domain, however many instances have the same view.
#[test]
fn swing_spills_over() {
    for (typical_ms, instances) in [(7, 6), (20, 6), (20, 33), (20, 86), (160, 6), (160, 33)] {
        let run = |policy| {
            replay(policy, |load| {
                load.typical_ms = typical_ms;
                load.instances = instances;
            })
        };
        let (before, after) = (run(Policy::Constant), run(Policy::Bounded));
        let text = format!("seed {SEED}, {instances} instances, {typical_ms} ms");
        assert!(
            after.quantile(0, 0.5) < 0.95 * before.quantile(0, 0.5),
            "{text}"
        );
        assert!(
            after.quantile(0, 0.95) < 0.95 * before.quantile(0, 0.95),
            "{text}"
        );
        assert!(after.failures[0] <= before.failures[0], "{text}");
        assert!(
            after.quantile(1, 0.5) < 1.15 * before.quantile(1, 0.5),
            "{text}"
        );
        assert!(after.quantile(1, 0.95) < after.quantile(0, 0.95), "{text}");
        assert_eq!(after.failures[1], 0, "{text}");
    }
}

/// Under a constant overload the fraction that leaves must settle instead of swinging between the domains.
#[test]
fn constant_load_settles() {
    for instances in [6, 33, 86] {
        let outcome = replay(Policy::Bounded, |load| {
            load.instances = instances;
            load.swing = 0.0;
            load.demand[0] = 1.2;
        });
        let settled = &outcome.left[10..];
        let most = settled.iter().copied().fold(0.0, f64::max);
        let least = settled.iter().copied().fold(1.0, f64::min);
        println!("leaving between {least:.2} and {most:.2}");
        assert!(least > 0.1 && most < 0.6, "seed {SEED}: {:?}", outcome.left);
        assert!(most - least < 0.3, "seed {SEED}: {:?}", outcome.left);
    }
}

/// A gathered request whose shard has one copy in each of three domains must not wait longer for a local copy that pauses
/// or is slow than with the constant, although the share is none when the fault begins.
#[test]
fn faulty_copy_left() {
    for instances in [1, 6, 30] {
        let mean_quantiles = |policy| {
            let mut means = [0.0; 2];
            for seed in SEED..SEED + SEED_COUNT {
                let outcome = replay(policy, |load| {
                    load.seed = seed;
                    load.instances = instances;
                    load.upstreams = [1, 2];
                    load.has_faults = true;
                    load.demand = [0.4, 0.3];
                    load.swing = 0.0;
                });
                means[0] += outcome.quantile(0, 0.95) / SEED_COUNT as f64;
                means[1] += outcome.quantile(0, 0.99) / SEED_COUNT as f64;
            }
            means
        };
        let before = mean_quantiles(Policy::Constant);
        let after = mean_quantiles(Policy::Bounded);
        println!("{instances} instances: p95 and p99 {before:.0?} before, {after:.0?} after");
        for (before, after) in before.into_iter().zip(after) {
            assert!(after < 1.05 * before, "seeds from {SEED}");
        }
    }
}
