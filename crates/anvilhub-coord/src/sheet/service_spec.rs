use std::collections::BTreeSet;

use crate::ids::{CallerName, ServiceName};
use crate::keyspace::KeyRange;

use super::{RepeatPolicy, ReplicaSpec, RoutePolicy, ShardSpec, UrgencyClass};

/// A search service as the sheet defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name, unique within the sheet.
    pub name: ServiceName,
    /// Callers that may use the service.
    pub callers: BTreeSet<CallerName>,
    /// Highest urgency that a request may have, and the urgency of requests that do not specify one.
    pub urgency: UrgencyClass,
    /// Whether a request may run more than once.
    pub repeatability: RepeatPolicy,
    /// How sub-requests are routed.
    pub route: RoutePolicy,
    /// Shards in ascending order of their ranges.
    pub shards: Vec<ShardSpec>,
}

impl ServiceSpec {
    /// Returns the shards whose ranges overlap `range`.
    pub fn shards_in(&self, range: KeyRange) -> impl Iterator<Item = &ShardSpec> {
        self.shards
            .iter()
            .filter(move |shard| !shard.range.intersection(range).is_empty())
    }

    /// Returns all upstreams of the service.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaSpec> {
        self.shards.iter().flat_map(|shard| &shard.replicas)
    }
}
