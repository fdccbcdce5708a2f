/// One candidate of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedReplica {
    /// Expected time of an answer, in usual answer times.
    pub cost: f64,
    /// Rounds of work in front of a further request.
    pub queue: f64,
    /// Whether it rests after failures.
    pub resting: bool,
    /// Whether it leaves or may be gone; used only when nothing else is left.
    pub leaving: bool,
    /// Whether it is in the failure domain of this instance.
    pub near: bool,
    /// Whether this request was sent to it before.
    pub tried: bool,
}

/// Chooses the upstream for an attempt.
///
/// Answers the load pattern of several instances that choose at the same moment without shared counters: the cost
/// decides, with a random term that keeps instances with the same view from choosing alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaRanker {
    /// What another failure domain adds, in usual answer times.
    pub domain_cost: f64,
    /// Largest random term, in usual answer times.
    pub jitter: f64,
}

impl Default for ReplicaRanker {
    fn default() -> Self {
        Self {
            domain_cost: 1.6,
            jitter: 0.2,
        }
    }
}

impl ReplicaRanker {
    /// Index of the candidate to use; `None` when each was tried. `random` gives numbers from 0 to 1.
    ///
    /// A leaving upstream is never used for a further attempt: the first one may still be answered.
    pub fn choose(
        &self,
        candidates: &[RankedReplica],
        is_further: bool,
        mut random: impl FnMut() -> f64,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let tier = candidates
            .iter()
            .filter(|each| !(each.tried || is_further && each.leaving))
            .map(tier)
            .min()?;
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.tried || self::tier(candidate) != tier {
                continue;
            }
            let far = if candidate.near {
                0.0
            } else {
                self.domain_cost
            };
            let cost = candidate.cost + far + self.jitter * random();
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Healthy upstreams go first, then those that rest, then those that leave.
fn tier(candidate: &RankedReplica) -> u32 {
    match (candidate.leaving, candidate.resting) {
        (false, false) => 0,
        (false, true) => 1,
        (true, _) => 2,
    }
}
