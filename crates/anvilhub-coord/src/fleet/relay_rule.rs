use super::{CpuCores, MemberInfo};

/// Chooses the instance that gathers the answers to a request on behalf of a smaller one.
///
/// Designed for requests with many sub-requests on instances of unequal size: an instance with an eighth of a core
/// spends half of a caller's latency target on sending a hundred sub-requests, and its many connections are idle for
/// longer than upstreams keep them open. A few larger instances send faster and keep their connections in use.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// Minimum size of a relay, as a multiple of the own size. The gain must outweigh the cost of the additional hop.
    pub min_size_ratio: f64,
    /// Minimum number of sub-requests of a relayed request. Sending fewer takes about as long as one hop.
    pub min_sub_requests: usize,
}

impl Default for RelayRule {
    fn default() -> Self {
        Self {
            min_size_ratio: 2.0,
            min_sub_requests: 16,
        }
    }
}

impl RelayRule {
    /// Returns whether a request with `sub_request_count` sub-requests is relayed if there is a suitable relay.
    pub fn is_worthwhile(&self, sub_request_count: usize) -> bool {
        sub_request_count >= self.min_sub_requests
    }

    /// Chooses a relay at random, with probabilities in proportion to size. Takes it from the own failure domain if
    /// there is one. `random` is a number from 0 to 1. Returns `None` if no member is large enough.
    pub fn choose<'a>(
        &self,
        own: &MemberInfo,
        members: impl Iterator<Item = &'a MemberInfo>,
        random: f64,
    ) -> Option<&'a MemberInfo> {
        let min_cores = own.cores.get() * self.min_size_ratio;
        let relays: Vec<&MemberInfo> = members
            .filter(|member| !member.is_leaving && member.cores.get() >= min_cores)
            .collect();
        let local: Vec<&MemberInfo> = relays
            .iter()
            .copied()
            .filter(|member| member.failure_domain == own.failure_domain)
            .collect();
        let relays = if local.is_empty() { relays } else { local };
        let total_weight: f64 = relays.iter().map(|relay| weight(relay.cores)).sum();
        let mut remaining = total_weight * random;
        for relay in &relays {
            remaining -= weight(relay.cores);
            if remaining < 0.0 {
                return Some(relay);
            }
        }
        relays.last().copied()
    }
}

fn weight(cores: CpuCores) -> f64 {
    cores.get().max(0.0)
}
