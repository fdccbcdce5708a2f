use std::collections::BTreeMap;
use std::time::Duration;

/// An upstream is slow if its latency is this many times the median of the service's upstreams.
const SLOW_LATENCY_FACTOR: f64 = 3.0;
/// Minimum difference to the median for an upstream to be slow, whatever the factor.
const MIN_EXCESS_LATENCY: Duration = Duration::from_millis(5);
/// Minimum number of samples for an ejection because of latency.
const MIN_SAMPLES: u32 = 5;
/// Number of consecutive failures from which an upstream is ejected, whatever its latency.
const FAILURE_THRESHOLD: u32 = 5;
/// At most one in this many upstreams is ejected at a time, so that wrong estimates cannot disable a service.
const UPSTREAMS_PER_EJECTION: usize = 3;

/// The state of one upstream that the ejection policy considers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionCandidate {
    /// Index of the upstream's shard.
    pub shard: usize,
    /// Estimated latency, if known.
    pub latency: Option<Duration>,
    /// Number of samples in the latency estimate.
    pub sample_count: u32,
    /// Number of failed attempts since the last answer, refusal or ejection.
    pub failure_count: u32,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// Whether the upstream is already ejected.
    pub is_ejected: bool,
    /// Whether the upstream is on trial after an ejection.
    pub is_on_trial: bool,
}

/// Decides which slow or failing upstreams of a service get no requests for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionPolicy;

impl EjectionPolicy {
    /// Returns the indexes of the upstreams to eject now, those with the most failures and then the slowest first.
    ///
    /// `upstreams` holds the upstreams that this instance sends to. An owner passes only the upstreams of its own
    /// shards: if every owner ejects at most a third of these, at most a third of the service is ejected.
    pub fn select_ejections(self, upstreams: &[EjectionCandidate]) -> Vec<usize> {
        let mut usable_replicas: BTreeMap<usize, usize> = BTreeMap::new();
        for upstream in upstreams
            .iter()
            .filter(|upstream| !upstream.is_ejected && !upstream.is_leaving)
        {
            *usable_replicas.entry(upstream.shard).or_default() += 1;
        }
        let ejected = upstreams
            .iter()
            .filter(|upstream| upstream.is_ejected)
            .count();
        let mut remaining = (upstreams.len() / UPSTREAMS_PER_EJECTION).saturating_sub(ejected);
        let mut selected = Vec::new();
        for index in self.find_unhealthy(upstreams) {
            let Some(replicas_left) = usable_replicas.get_mut(&upstreams[index].shard) else {
                continue;
            };
            if remaining == 0 || *replicas_left < 2 {
                continue;
            }
            remaining -= 1;
            *replicas_left -= 1;
            selected.push(index);
        }
        selected
    }

    fn find_unhealthy(self, upstreams: &[EjectionCandidate]) -> Vec<usize> {
        let median = median_latency(upstreams);
        let limit = median.map(|median| {
            let slow_latency = median.mul_f64(SLOW_LATENCY_FACTOR);
            slow_latency.max(median + MIN_EXCESS_LATENCY)
        });
        let is_unhealthy = |upstream: &EjectionCandidate| {
            let (min_samples, failure_threshold) = match upstream.is_on_trial {
                true => (1, 1),
                false => (MIN_SAMPLES, FAILURE_THRESHOLD),
            };
            let is_slow = upstream.sample_count >= min_samples
                && limit
                    .is_some_and(|limit| upstream.latency.is_some_and(|latency| latency > limit));
            !upstream.is_leaving
                && !upstream.is_ejected
                && (is_slow || upstream.failure_count >= failure_threshold)
        };
        let mut unhealthy: Vec<usize> = (0..upstreams.len())
            .filter(|&index| is_unhealthy(&upstreams[index]))
            .collect();
        unhealthy.sort_by_key(|&index| {
            let upstream = &upstreams[index];
            std::cmp::Reverse((upstream.failure_count, upstream.latency))
        });
        unhealthy
    }
}

fn median_latency(upstreams: &[EjectionCandidate]) -> Option<Duration> {
    let mut known: Vec<Duration> = upstreams
        .iter()
        .filter(|upstream| !upstream.is_ejected && upstream.sample_count >= MIN_SAMPLES)
        .filter_map(|upstream| upstream.latency)
        .collect();
    known.sort_unstable();
    // Takes the lower median, so that the slower of two upstreams is compared with the faster one.
    known.get(known.len().saturating_sub(1) / 2).copied()
}
