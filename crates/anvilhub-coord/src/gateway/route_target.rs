use super::{GatherRule, WeightedService};
use crate::ids::ServiceName;

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To one upstream of a service.
    Service(ServiceName),
    /// To one upstream of one of several services, in the proportions of their weights.
    Split(Vec<WeightedService>),
    /// To one upstream of each shard.
    Gather(GatherRule),
}

impl RouteTarget {
    /// Every service that requests may go to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}
