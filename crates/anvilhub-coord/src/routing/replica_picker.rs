use std::time::Duration;

use derive_more::{Display, Error};
use rand::Rng;
use rand::seq::index;

use super::{AttemptKind, ReplicaCandidate, Result};

/// Why a replica was chosen, for the log line of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum PickReason {
    /// No other replica could be used.
    #[display("only_usable")]
    OnlyUsable,
    /// It has the least expected time of those compared.
    #[display("least_expected")]
    LeastExpected,
    /// Equal to another except for its failure domain.
    #[display("same_domain")]
    SameDomain,
    /// Every usable replica is ejected; this one is expected to answer first.
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
    /// All replicas that may be used were tried.
    #[display("every usable replica was tried; report the shard as missing")]
    AllTried,
    /// No connection to a usable replica is free.
    #[display("no connection to a usable replica is free; wait for one")]
    AllFull,
}

/// The choice of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// Index among the candidates.
    pub index: usize,
    /// Reason of the choice.
    pub reason: PickReason,
}

/// Chooses among the replicas of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPicker {
    /// Time that a round trip to another failure domain adds.
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
    /// Chooses the replica for an attempt; `further` is `None` for the first one.
    ///
    /// Two random candidates are compared, so that instances with the same view spread their choices. A hedge
    /// never goes to an ejected replica, because it would not be faster than the attempt that it hedges.
    ///
    /// # Errors
    ///
    /// Fails when every replica is leaving, was tried already, or has no free connection.
    pub fn pick(
        &self,
        candidates: &[ReplicaCandidate],
        further: Option<AttemptKind>,
        rng: &mut impl Rng,
    ) -> Result<ReplicaChoice> {
        if candidates.is_empty() {
            return Err(PickError::NoReplica);
        }
        let staying = staying(candidates);
        if staying.is_empty() {
            return Err(PickError::AllLeaving);
        }
        let untried = select(candidates, staying, |candidate| !candidate.is_tried);
        if untried.is_empty() {
            return Err(PickError::AllTried);
        }
        let untried = select(candidates, untried, |candidate| !candidate.is_full);
        let healthy = select(candidates, untried.iter().copied(), |candidate| {
            !candidate.load.is_ejected
        });
        let hedge = further == Some(AttemptKind::Hedge);
        match (healthy.as_slice(), untried.as_slice()) {
            (_, []) => Err(PickError::AllFull),
            ([], _) if hedge => Err(PickError::AllFull),
            ([], ejected) => Ok(ReplicaChoice {
                index: self.compare(candidates, ejected, rng).index,
                reason: PickReason::AllEjected,
            }),
            (healthy, _) => Ok(self.compare(candidates, healthy, rng)),
        }
    }

    fn compare(
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
        let by_load =
            candidates[index].load.expected_latency < candidates[other].load.expected_latency;
        let nearer = candidates[index].is_local && !candidates[other].is_local;
        let reason = match nearer && !by_load {
            true => PickReason::SameDomain,
            false => PickReason::LeastExpected,
        };
        ReplicaChoice { index, reason }
    }
}

/// The replicas that take new work. Those that only a report names as leaving count when the shard has no other.
fn staying(candidates: &[ReplicaCandidate]) -> Vec<usize> {
    if crate::mutation::is_active("leaving_upstream") {
        return (0..candidates.len()).collect();
    }
    let usable = select(candidates, 0..candidates.len(), |candidate| {
        !candidate.load.is_leaving
    });
    let certain = select(candidates, usable.iter().copied(), |candidate| {
        !candidate.load.is_reported_leaving
    });
    match certain.is_empty() {
        true => usable,
        false => certain,
    }
}

fn select(
    candidates: &[ReplicaCandidate],
    indexes: impl IntoIterator<Item = usize>,
    keep: impl Fn(&ReplicaCandidate) -> bool,
) -> Vec<usize> {
    indexes
        .into_iter()
        .filter(|&index| keep(&candidates[index]))
        .collect()
}
