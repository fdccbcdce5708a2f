use std::time::Duration;

use super::RemoteSaving;

/// An upstream that may be chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedReplica {
    /// Expected time until an answer, in typical latencies.
    pub cost: f64,
    /// Length of the queue in front of a new request, in rounds of one request per slot.
    pub queue_rounds: f64,
    /// Whether it names a limit of requests; the others are preferred unless they are busy.
    pub is_limited: bool,
    /// Whether it is in a cooldown after failures.
    pub is_cooling_down: bool,
    /// Whether it is leaving or may have been removed; such an upstream is used only if there is no other one.
    pub is_leaving: bool,
    /// Whether it is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether it owes an answer for longer than its reported queue explains.
    pub is_overdue: bool,
    /// Extra cost of an upstream in another failure domain, in typical latencies; `None` for that of the ranker.
    pub remote_cost: Option<f64>,
    /// Time since its last answer; `None` before the first one.
    pub answer_age: Option<Duration>,
    /// Whether it must not be chosen: an earlier attempt was sent to it, it was removed, it has left, or its limit has
    /// no room.
    pub is_excluded: bool,
}

/// Chooses the upstream for an attempt.
///
/// Designed for several instances that choose at the same moment without shared counters: the cost decides, with a
/// random term that keeps instances with the same view from choosing the same upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaRanker {
    /// Extra cost of an upstream in another failure domain, in typical latencies, if the candidate states none; also
    /// the maximum while no upstream of this failure domain answers in time.
    pub remote_cost: f64,
    /// Extra cost of an upstream that names a limit, in typical latencies.
    pub limited_cost: f64,
    /// Maximum random extra cost, in typical latencies.
    pub max_jitter: f64,
    /// Fraction of the first attempts that leave for an upstream with a stated `remote_cost`, among those that would
    /// save more than that, but less than the ranker's own `remote_cost`.
    pub leaving_share: f64,
}

impl Default for ReplicaRanker {
    fn default() -> Self {
        Self {
            remote_cost: 1.6,
            limited_cost: 1.0,
            max_jitter: 0.2,
            leaving_share: 1.0,
        }
    }
}

impl ReplicaRanker {
    /// Returns the index of the candidate to use; `None` if there is none. `random` returns numbers from 0 to 1.
    ///
    /// `is_repeat` is true after the first attempt of a sub-request. Such attempts are not sent to leaving upstreams,
    /// since the first attempt may still be answered.
    pub fn choose(
        &self,
        candidates: &[RankedReplica],
        is_repeat: bool,
        mut random: impl FnMut() -> f64,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let mut best_local: Option<(f64, usize)> = None;
        let best_tier = best_tier(candidates, is_repeat)?;
        let has_responsive_local = has_responsive_local(candidates, best_tier);
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.is_excluded || tier(candidate) != best_tier {
                continue;
            }
            let extra_cost =
                self.extra_cost(candidate, has_responsive_local) + self.max_jitter * random();
            let cost = candidate.cost + extra_cost;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
            if candidate.is_local && best_local.is_none_or(|(lowest, _)| cost < lowest) {
                best_local = Some((cost, index));
            }
        }
        let (_, chosen) = best?;
        let Some((_, local)) = best_local else {
            return Some(chosen);
        };
        let is_bounded = !is_repeat && has_responsive_local && self.leaving_share < 1.0;
        if is_bounded
            && self.saves_little(&candidates[local], &candidates[chosen])
            && random() >= self.leaving_share
        {
            return Some(local);
        }
        Some(chosen)
    }

    /// Returns what a first attempt would save by leaving the failure domain; `None` if it cannot choose whether to
    /// leave, or has to because no local upstream answers in time.
    pub fn remote_saving(&self, candidates: &[RankedReplica]) -> Option<RemoteSaving> {
        let best_tier = best_tier(candidates, false)?;
        if !has_responsive_local(candidates, best_tier) {
            return None;
        }
        let lowest_cost = |is_local: bool| {
            candidates
                .iter()
                .filter(|candidate| !candidate.is_excluded && tier(candidate) == best_tier)
                .filter(|candidate| candidate.is_local == is_local)
                .filter(|candidate| candidate.is_local || candidate.remote_cost.is_some())
                .map(|candidate| candidate.cost + self.extra_cost(candidate, true))
                .min_by(f64::total_cmp)
        };
        let remote = candidates.iter().filter(|candidate| !candidate.is_local);
        Some(RemoteSaving {
            local_cost: lowest_cost(true)?,
            remote_cost: lowest_cost(false)?,
            answer_age: remote.filter_map(|candidate| candidate.answer_age).min(),
        })
    }

    /// Returns whether `chosen` is an upstream of another failure domain that the ranker's own `remote_cost` would keep
    /// an attempt from. Larger savings, such as those for a paused or full upstream, are not bounded.
    fn saves_little(&self, local: &RankedReplica, chosen: &RankedReplica) -> bool {
        let Some(stated) = chosen.remote_cost.filter(|_| !chosen.is_local) else {
            return false;
        };
        local.cost - chosen.cost < self.remote_cost.max(stated)
    }

    /// Returns what is added to the cost of a candidate, without the random term, in typical latencies.
    fn extra_cost(&self, candidate: &RankedReplica, has_responsive_local: bool) -> f64 {
        let remote_cost = match candidate.is_local {
            true => 0.0,
            false => self.remote_cost_of(candidate, has_responsive_local),
        };
        let limited_cost = match candidate.is_limited {
            true => self.limited_cost,
            false => 0.0,
        };
        remote_cost + limited_cost
    }

    /// Returns the extra cost of a candidate in another failure domain, in typical latencies.
    ///
    /// A stated cost is raised by the maximum jitter, so that the random term alone never sends an attempt away.
    fn remote_cost_of(&self, candidate: &RankedReplica, has_responsive_local: bool) -> f64 {
        match candidate.remote_cost {
            None => self.remote_cost,
            Some(cost) if has_responsive_local => cost + self.max_jitter,
            Some(cost) => (cost + self.max_jitter).min(self.remote_cost),
        }
    }
}

/// Returns the preference of the candidates to choose from; `None` if there are none.
fn best_tier(candidates: &[RankedReplica], is_repeat: bool) -> Option<u32> {
    candidates
        .iter()
        .filter(|candidate| !(candidate.is_excluded || is_repeat && candidate.is_leaving))
        .map(tier)
        .min()
}

/// Returns whether a candidate of this failure domain is not overdue.
fn has_responsive_local(candidates: &[RankedReplica], best_tier: u32) -> bool {
    candidates.iter().any(|candidate| {
        let is_responsive = candidate.is_local && !candidate.is_overdue;
        is_responsive && !candidate.is_excluded && tier(candidate) == best_tier
    })
}

/// Returns the preference of a candidate, lowest first: healthy, cooling down, leaving.
fn tier(candidate: &RankedReplica) -> u32 {
    match (candidate.is_leaving, candidate.is_cooling_down) {
        (false, false) => 0,
        (false, true) => 1,
        (true, _) => 2,
    }
}
