use std::collections::BTreeMap;

use crate::ids::FailureDomain;

/// For each failure domain, the fraction of a request's shards that have an upstream there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainShares {
    shares: BTreeMap<FailureDomain, f64>,
}

impl DomainShares {
    /// Computes the shares from the failure domains of each shard's upstreams. A domain may be named more than once for
    /// a shard.
    pub fn of_shards<'a, D>(shards: impl IntoIterator<Item = D>) -> Self
    where
        D: IntoIterator<Item = &'a FailureDomain>,
    {
        let mut counts: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        let mut shard_count = 0_usize;
        for domains in shards {
            shard_count += 1;
            let mut domains: Vec<&FailureDomain> = domains.into_iter().collect();
            domains.sort_unstable();
            domains.dedup();
            for domain in domains {
                *counts.entry(domain).or_default() += 1;
            }
        }
        let shares = counts
            .into_iter()
            .map(|(domain, count)| (domain.clone(), count as f64 / shard_count as f64));
        Self {
            shares: shares.collect(),
        }
    }

    /// Returns the fraction of the shards that have an upstream in `domain`, from 0 to 1.
    pub fn share(&self, domain: &FailureDomain) -> f64 {
        self.shares.get(domain).copied().unwrap_or_default()
    }
}
