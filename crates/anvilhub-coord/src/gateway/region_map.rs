use std::collections::BTreeMap;

use derive_more::From;

use crate::ids::{FailureDomain, RegionName};

/// The region of each failure domain, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, From)]
pub struct RegionMap {
    regions: BTreeMap<FailureDomain, RegionName>,
}

impl RegionMap {
    /// Returns the region of `domain`; `None` if it is not known.
    pub fn region(&self, domain: &FailureDomain) -> Option<&RegionName> {
        self.regions.get(domain)
    }
}
