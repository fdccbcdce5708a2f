use super::{CpuCores, DomainShares, MemberInfo};

/// Chooses the instance that gathers the answers to a request on behalf of a smaller one.
///
/// Designed for requests with many sub-requests on instances of unequal size: an instance with an eighth of a core
/// spends half of a caller's latency target on sending a hundred sub-requests, and its many connections are idle for
/// longer than upstreams keep them open. A few larger instances send faster and keep their connections in use.
///
/// The upstreams may all be in a few failure domains. From any other domain, each sub-request and its answer would
/// cross to them, while a relay beside the upstreams sends only the merged answer across.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// Minimum size of a relay, as a multiple of this instance's size. The gain must outweigh the cost of the
    /// additional hop.
    pub min_size_ratio: f64,
    /// Minimum number of sub-requests of a relayed request. Sending fewer takes about as long as one hop.
    pub min_sub_requests: usize,
    /// Minimum difference between the fractions of shards with an upstream in two failure domains for the relays of one
    /// to be preferred. The gain must outweigh the longer way of the request.
    pub min_share_gain: f64,
}

impl Default for RelayRule {
    fn default() -> Self {
        Self {
            min_size_ratio: 2.0,
            min_sub_requests: 16,
            min_share_gain: 0.5,
        }
    }
}

impl RelayRule {
    /// Returns whether a request with `sub_request_count` sub-requests is relayed if there is a suitable relay.
    pub fn is_worthwhile(&self, sub_request_count: usize) -> bool {
        sub_request_count >= self.min_sub_requests
    }

    /// Chooses a relay at random, with probabilities in proportion to size. Takes it from the failure domain of
    /// `own` if there is one in that domain, unless the relays of other domains have upstreams of many more of the
    /// shards beside them. `random` is a number from 0 to 1. Returns `None` if no member is large enough.
    pub fn choose<'a>(
        &self,
        own: &MemberInfo,
        members: impl Iterator<Item = &'a MemberInfo>,
        shares: &DomainShares,
        random: f64,
    ) -> Option<&'a MemberInfo> {
        let min_cores = own.cores.get() * self.min_size_ratio;
        let mut relays: Vec<&MemberInfo> = members
            .filter(|member| is_able(member) && member.cores.get() >= min_cores)
            .collect();
        let share = |relay: &MemberInfo| shares.share(&relay.failure_domain);
        let best_share = relays.iter().map(|relay| share(relay)).fold(0.0, f64::max);
        relays.retain(|relay| share(relay) + self.min_share_gain > best_share);
        if relays.iter().any(|relay| is_local(own, relay)) {
            relays.retain(|relay| is_local(own, relay));
        }
        choose_weighted(&relays, random)
    }

    /// Chooses the instance through which one that reaches no upstream serves a request: any one that does, at random with
    /// probabilities in proportion to size, so that the largest bear most of what a whole failure domain needs. `random` is
    /// a number from 0 to 1.
    pub fn choose_helper<'a>(
        &self,
        members: impl Iterator<Item = &'a MemberInfo>,
        random: f64,
    ) -> Option<&'a MemberInfo> {
        let helpers: Vec<&MemberInfo> = members.filter(|member| is_able(member)).collect();
        choose_weighted(&helpers, random)
    }
}

/// Chooses a member with a probability in proportion to its size.
fn choose_weighted<'a>(members: &[&'a MemberInfo], random: f64) -> Option<&'a MemberInfo> {
    let total_weight: f64 = members.iter().map(|member| weight(member.cores)).sum();
    let mut remaining = total_weight * random;
    for member in members {
        remaining -= weight(member.cores);
        if remaining < 0.0 {
            return Some(member);
        }
    }
    members.last().copied()
}

/// Returns whether a member accepts requests and can serve them.
fn is_able(member: &MemberInfo) -> bool {
    !member.is_leaving && !member.is_cut_off
}

fn is_local(own: &MemberInfo, relay: &MemberInfo) -> bool {
    relay.failure_domain == own.failure_domain
}

fn weight(cores: CpuCores) -> f64 {
    cores.get().max(0.0)
}
