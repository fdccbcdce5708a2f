use std::collections::BTreeSet;

use crate::ids::{CallerName, ServiceName};
use crate::keyspace::KeyRange;

use super::{RepeatPolicy, ReplicaSpec, RoutePolicy, ShardSpec, UrgencyClass};

/// One search service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name, unique within the sheet.
    pub name: ServiceName,
    /// Callers that the service serves.
    pub callers: BTreeSet<CallerName>,
    /// Highest urgency that its requests may claim, and the one of requests that claim none.
    pub urgency: UrgencyClass,
    /// Whether its requests may be run more than once.
    pub repeatability: RepeatPolicy,
    /// How its sub-requests are routed.
    pub route: RoutePolicy,
    /// Shards in ascending order of their ranges.
    pub shards: Vec<ShardSpec>,
}

impl ServiceSpec {
    /// The shards whose range shares keys with `range`.
    pub fn shards_in(&self, range: KeyRange) -> impl Iterator<Item = &ShardSpec> {
        self.shards
            .iter()
            .filter(move |shard| !shard.range.intersection(range).is_empty())
    }

    /// Every upstream of the service.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaSpec> {
        self.shards.iter().flat_map(|shard| &shard.replicas)
    }
}
