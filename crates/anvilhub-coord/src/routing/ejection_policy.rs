use std::collections::BTreeMap;
use std::time::Duration;

/// An upstream this many times slower than the median of its peers is ejected.
const SLOW_FACTOR: f64 = 3.0;
/// Difference to the median below which an upstream is not slow, whatever the factor.
const LEAST_EXCESS: Duration = Duration::from_millis(5);
/// Samples below which an estimate does not eject.
const LEAST_SAMPLES: u32 = 5;
/// Failures in a row that eject without a latency estimate.
const FAILURES: u32 = 5;
/// At most one of this many upstreams is ejected at a time, so that a wrong estimate cannot remove a service.
const EJECTED_FRACTION: usize = 3;

/// What the policy needs to know about one upstream of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionCandidate {
    /// Index of its shard.
    pub shard: usize,
    /// Estimated latency, if known.
    pub latency: Option<Duration>,
    /// Samples behind the estimate.
    pub samples: u32,
    /// Attempts that failed since the last answer.
    pub failures: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it is ejected already.
    pub is_ejected: bool,
    /// Whether it is on trial after an ejection.
    pub is_on_trial: bool,
}

/// Decides which upstreams of a service are ejected temporarily.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionPolicy;

impl EjectionPolicy {
    /// Indexes of the upstreams to eject now, the slowest first.
    ///
    /// `upstreams` holds the upstreams that this instance sends to: an owner passes those of its shards, so
    /// that a third of each owner's upstreams is at most a third of the service.
    pub fn select_ejections(self, upstreams: &[EjectionCandidate]) -> Vec<usize> {
        let mut usable: BTreeMap<usize, usize> = BTreeMap::new();
        for upstream in upstreams
            .iter()
            .filter(|each| !each.is_ejected && !each.is_leaving)
        {
            *usable.entry(upstream.shard).or_default() += 1;
        }
        let ejected = upstreams.iter().filter(|each| each.is_ejected).count();
        let mut room = (upstreams.len() / EJECTED_FRACTION).saturating_sub(ejected);
        let mut planned = Vec::new();
        for index in self.slow(upstreams) {
            let Some(left) = usable.get_mut(&upstreams[index].shard) else {
                continue;
            };
            if room == 0 || *left < 2 {
                continue;
            }
            room -= 1;
            *left -= 1;
            planned.push(index);
        }
        planned
    }

    fn slow(self, upstreams: &[EjectionCandidate]) -> Vec<usize> {
        let median = median_latency(upstreams);
        let limit = median.map(|median| median.mul_f64(SLOW_FACTOR).max(median + LEAST_EXCESS));
        let is_slow = |each: &EjectionCandidate| {
            let (samples, failures) = match each.is_on_trial {
                true => (1, 1),
                false => (LEAST_SAMPLES, FAILURES),
            };
            let late = each.samples >= samples
                && limit.is_some_and(|limit| each.latency.is_some_and(|latency| latency > limit));
            !each.is_leaving && !each.is_ejected && (late || each.failures >= failures)
        };
        let mut slow: Vec<usize> = (0..upstreams.len())
            .filter(|&index| is_slow(&upstreams[index]))
            .collect();
        slow.sort_by_key(|&index| {
            let upstream = &upstreams[index];
            std::cmp::Reverse((upstream.failures, upstream.latency))
        });
        slow
    }
}

fn median_latency(upstreams: &[EjectionCandidate]) -> Option<Duration> {
    let mut known: Vec<Duration> = upstreams
        .iter()
        .filter(|each| !each.is_ejected && each.samples >= LEAST_SAMPLES)
        .filter_map(|each| each.latency)
        .collect();
    known.sort_unstable();
    // The lower median, so that one of two replicas can be slow against the other.
    known.get(known.len().saturating_sub(1) / 2).copied()
}
