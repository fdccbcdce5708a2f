use super::{GatherRule, WeightedService};
use crate::ids::ServiceName;

/// Where the requests of a route are sent.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To one upstream of a service.
    Service(ServiceName),
    /// To one upstream of one of several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// To one upstream of each shard.
    Gather(GatherRule),
}

impl RouteTarget {
    /// Returns every service that requests may be sent to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(services) => services.iter().map(|weighted| &weighted.service).collect(),
            Self::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}
