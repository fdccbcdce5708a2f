use std::time::Duration;

use super::ReplicaSettings;

/// Draws the pseudo-random service times and shedding decisions of one replica from its seed.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimeSampler {
    name_hash: u64,
    draw_count: u64,
}

impl ServiceTimeSampler {
    /// Starts the sequence of the replica `name`. Replicas with the same seed have different sequences.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name_hash: hash_bytes(0, name.as_bytes()),
            draw_count: 0,
        }
    }

    /// Draws the next service time from a Pareto distribution, scaled to the median and limited to the cap.
    pub(crate) fn draw_service_time(&mut self, settings: &ReplicaSettings) -> Duration {
        let tail_probability = 1.0 - self.next_fraction(settings.seed);
        let median_multiple = (2.0 * tail_probability).powf(-1.0 / settings.tail_alpha);
        let micros =
            settings.median_service_us as f64 * median_multiple.min(settings.max_median_multiple);
        Duration::from_secs_f64(micros * settings.slowdown_factor / 1e6)
    }

    /// Draws whether the next sub-request is shed.
    pub(crate) fn draw_shed(&mut self, settings: &ReplicaSettings) -> bool {
        settings.shed_fraction > 0.0 && self.next_fraction(settings.seed) < settings.shed_fraction
    }

    /// Returns the next pseudo-random number in `0.0..1.0`.
    fn next_fraction(&mut self, seed: u64) -> f64 {
        self.draw_count += 1;
        let bits = splitmix(splitmix(seed ^ self.name_hash).wrapping_add(self.draw_count));
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Hashes `bytes` with the initial value `hash`. Unlike the standard hasher, the result is the same in every build.
pub(crate) fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(splitmix(hash), |hash, byte| {
        splitmix(hash ^ u64::from(*byte))
    })
}

/// Returns the output of the SplitMix64 generator for the state `value`.
pub(crate) fn splitmix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
