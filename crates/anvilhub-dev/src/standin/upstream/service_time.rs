use std::time::Duration;

use super::ReplicaSettings;

/// Draws service times and other chances of one replica from its seed.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTime {
    stream: u64,
    draws: u64,
}

impl ServiceTime {
    /// Starts the sequence of the replica called `name`; replicas with one seed differ by name.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            stream: hash_bytes(0, name.as_bytes()),
            draws: 0,
        }
    }

    /// The next service time: a Pareto distribution, scaled to its median and cut at the cap.
    pub(crate) fn draw(&mut self, settings: &ReplicaSettings) -> Duration {
        let tail = 1.0 - self.fraction(settings.seed);
        let multiple = (2.0 * tail).powf(-1.0 / settings.tail_alpha);
        let micros = settings.service_us as f64 * multiple.min(settings.tail_cap);
        Duration::from_secs_f64(micros * settings.slowdown / 1e6)
    }

    /// Says whether the next sub-request is shed.
    pub(crate) fn draw_shed(&mut self, settings: &ReplicaSettings) -> bool {
        settings.shed > 0.0 && self.fraction(settings.seed) < settings.shed
    }

    /// A fraction in `0.0..1.0`.
    fn fraction(&mut self, seed: u64) -> f64 {
        self.draws += 1;
        let bits = mix(mix(seed ^ self.stream).wrapping_add(self.draws));
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Folds `bytes` into `hash`. The result is the same in every build, unlike the standard hasher's.
pub(crate) fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(mix(hash), |hash, byte| mix(hash ^ u64::from(*byte)))
}

/// The SplitMix64 step.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
