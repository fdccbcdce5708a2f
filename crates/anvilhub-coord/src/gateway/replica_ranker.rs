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
}

impl Default for ReplicaRanker {
    fn default() -> Self {
        Self {
            remote_cost: 1.6,
            limited_cost: 1.0,
            max_jitter: 0.2,
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
        let best_tier = candidates
            .iter()
            .filter(|candidate| !(candidate.is_excluded || is_repeat && candidate.is_leaving))
            .map(tier)
            .min()?;
        let has_punctual_local = candidates.iter().any(|candidate| {
            let is_punctual = candidate.is_local && !candidate.is_overdue;
            is_punctual && !candidate.is_excluded && tier(candidate) == best_tier
        });
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.is_excluded || tier(candidate) != best_tier {
                continue;
            }
            let remote_cost = if candidate.is_local {
                0.0
            } else {
                self.remote_cost_of(candidate, has_punctual_local)
            };
            let limited_cost = match candidate.is_limited {
                true => self.limited_cost,
                false => 0.0,
            };
            let extra_cost = remote_cost + limited_cost + self.max_jitter * random();
            let cost = candidate.cost + extra_cost;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the extra cost of a candidate in another failure domain, in typical latencies.
    ///
    /// A stated cost is raised by the maximum jitter, so that the random term alone never sends an attempt away.
    fn remote_cost_of(&self, candidate: &RankedReplica, has_punctual_local: bool) -> f64 {
        match candidate.remote_cost {
            None => self.remote_cost,
            Some(cost) if has_punctual_local => cost + self.max_jitter,
            Some(cost) => (cost + self.max_jitter).min(self.remote_cost),
        }
    }
}

/// Returns the preference of a candidate, lowest first: healthy, cooling down, leaving.
fn tier(candidate: &RankedReplica) -> u32 {
    match (candidate.is_leaving, candidate.is_cooling_down) {
        (false, false) => 0,
        (false, true) => 1,
        (true, _) => 2,
    }
}
