use std::collections::BTreeSet;

use derive_more::From;

use super::RegionMap;
use crate::ids::{FailureDomain, RegionName};

/// The regions to which the requests of a route may go; without regions there is no restriction.
///
/// Designed for requests whose data must not leave some regions while the upstreams of other regions are faster, or the
/// only ones left: neither load nor failures, evacuations or relays widen the choice.
#[derive(Clone, Debug, Default, PartialEq, Eq, From)]
pub struct HomeRegions {
    regions: BTreeSet<RegionName>,
}

impl HomeRegions {
    /// Returns whether the requests are restricted to some regions.
    pub fn are_restricted(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Returns whether the upstreams of `domain` may get the requests. Those of a domain without a known region may not,
    /// if there is a restriction.
    pub fn allow_upstreams(&self, domain: &FailureDomain, map: &RegionMap) -> bool {
        let is_home = |region| self.regions.contains(region);
        !self.are_restricted() || map.region(domain).is_some_and(is_home)
    }

    /// Returns whether an instance in `own` may pass requests on to an instance in `other`: to home regions, and within
    /// its own region, where the requests are already.
    pub fn allow_relay(&self, own: &FailureDomain, other: &FailureDomain, map: &RegionMap) -> bool {
        let is_same_region = || map.region(own).is_some() && map.region(own) == map.region(other);
        self.allow_upstreams(other, map) || own == other || is_same_region()
    }
}
