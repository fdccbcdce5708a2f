use std::time::Duration;

use derive_more::{Display, Error};
use rand::Rng;
use rand::seq::index;

use super::{AttemptKind, ReplicaCandidate, Result};

/// Why a replica was chosen, for the log line of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum PickReason {
    /// No other replica is usable.
    #[display("only_usable")]
    OnlyUsable,
    /// It has the lowest expected latency of the replicas compared.
    #[display("least_expected")]
    LowestLatency,
    /// It is in the failure domain of this instance, and the other replica compared is not.
    #[display("same_domain")]
    SameDomain,
    /// Every usable replica is ejected; this one is the best of those compared.
    #[display("all_ejected")]
    AllEjected,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum PickError {
    /// The shard has no replica.
    #[display("the shard has no replica; add one to the sheet")]
    NoReplica,
    /// All replicas are leaving.
    #[display("every replica of the shard is leaving; wait for their replacements")]
    AllLeaving,
    /// Every usable replica has been tried.
    #[display("every usable replica was tried; report the shard as missing")]
    AllTried,
    /// No connection to any usable replica is free, or a hedge could only go to ejected replicas.
    #[display("no connection to a usable replica is free; wait for one")]
    AllFull,
}

/// The replica chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// Index of the replica among the candidates.
    pub index: usize,
    /// Why it was chosen.
    pub reason: PickReason,
}

/// Chooses a replica of a shard for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPicker {
    /// Time that a round trip to another failure domain adds to the expected latency.
    pub remote_latency: Duration,
}

impl Default for ReplicaPicker {
    fn default() -> Self {
        Self {
            remote_latency: Duration::from_millis(3),
        }
    }
}

impl ReplicaPicker {
    /// Chooses the replica for an attempt. `kind` is `None` for the first attempt of a sub-request.
    ///
    /// The better of two random candidates is taken, so that instances with the same information do not all
    /// choose the same replica. A hedge never goes to an ejected replica, because it would not be faster than the
    /// attempt that it hedges.
    ///
    /// # Errors
    ///
    /// Fails if the shard has no replica, or if every replica is leaving, was already tried, or has no free
    /// connection. A hedge also fails if the remaining replicas are ejected.
    pub fn pick(
        &self,
        candidates: &[ReplicaCandidate],
        kind: Option<AttemptKind>,
        rng: &mut impl Rng,
    ) -> Result<ReplicaChoice> {
        if candidates.is_empty() {
            return Err(PickError::NoReplica);
        }
        let accepting = accepting_replicas(candidates);
        if accepting.is_empty() {
            return Err(PickError::AllLeaving);
        }
        let eligible = filter_indexes(candidates, accepting, |candidate| !candidate.is_excluded);
        if eligible.is_empty() {
            return Err(PickError::AllTried);
        }
        let reachable = filter_indexes(candidates, eligible, |candidate| {
            !candidate.lacks_connection
        });
        let healthy = filter_indexes(candidates, reachable.iter().copied(), |candidate| {
            !candidate.load.is_ejected
        });
        let is_hedge = kind == Some(AttemptKind::Hedge);
        match (healthy.as_slice(), reachable.as_slice()) {
            (_, []) => Err(PickError::AllFull),
            ([], _) if is_hedge => Err(PickError::AllFull),
            ([], ejected) => Ok(ReplicaChoice {
                index: self.pick_better_of_two(candidates, ejected, rng).index,
                reason: PickReason::AllEjected,
            }),
            (healthy, _) => Ok(self.pick_better_of_two(candidates, healthy, rng)),
        }
    }

    fn pick_better_of_two(
        &self,
        candidates: &[ReplicaCandidate],
        usable: &[usize],
        rng: &mut impl Rng,
    ) -> ReplicaChoice {
        if let [index] = *usable {
            let reason = PickReason::OnlyUsable;
            return ReplicaChoice { index, reason };
        }
        let pair = index::sample(rng, usable.len(), 2);
        let (first, second) = (usable[pair.index(0)], usable[pair.index(1)]);
        let cost = |index: usize| {
            let candidate = &candidates[index];
            match candidate.is_local {
                true => candidate.load.expected_latency,
                false => candidate.load.expected_latency + self.remote_latency,
            }
        };
        let (index, other) = match cost(second) < cost(first) {
            true => (second, first),
            false => (first, second),
        };
        let is_faster =
            candidates[index].load.expected_latency < candidates[other].load.expected_latency;
        let is_only_local = candidates[index].is_local && !candidates[other].is_local;
        let reason = match is_only_local && !is_faster {
            true => PickReason::SameDomain,
            false => PickReason::LowestLatency,
        };
        ReplicaChoice { index, reason }
    }
}

/// Returns the indexes of the replicas that accept new work. Replicas that only a report names as leaving are included
/// if the shard has no other.
fn accepting_replicas(candidates: &[ReplicaCandidate]) -> Vec<usize> {
    if crate::mutation::is_active("leaving_upstream") {
        return (0..candidates.len()).collect();
    }
    let usable = filter_indexes(candidates, 0..candidates.len(), |candidate| {
        !candidate.load.is_leaving
    });
    let unreported = filter_indexes(candidates, usable.iter().copied(), |candidate| {
        !candidate.load.is_reported_leaving
    });
    match unreported.is_empty() {
        true => usable,
        false => unreported,
    }
}

fn filter_indexes(
    candidates: &[ReplicaCandidate],
    indexes: impl IntoIterator<Item = usize>,
    keep: impl Fn(&ReplicaCandidate) -> bool,
) -> Vec<usize> {
    indexes
        .into_iter()
        .filter(|&index| keep(&candidates[index]))
        .collect()
}
