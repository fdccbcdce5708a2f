use std::time::Duration;

/// A copy of what an `UpstreamView` says at one time, to compare replicas without holding their locks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Sub-requests of this instance in flight.
    pub in_flight: u32,
    /// Expected time until a sub-request sent now is answered.
    pub expected_latency: Duration,
    /// Whether it gets no new work.
    pub is_leaving: bool,
    /// Whether nothing but a report names it as leaving: it gets work when the shard has no other replica.
    pub is_reported_leaving: bool,
    /// Whether it is temporarily ejected, or on trial with an attempt in flight.
    pub is_ejected: bool,
}

/// One replica of a shard as a candidate for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaCandidate {
    /// Copy of the replica's view.
    pub load: UpstreamLoad,
    /// Whether the replica is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether an earlier attempt of the sub-request went to this replica.
    pub is_tried: bool,
    /// Whether this instance has no free connection to the replica.
    pub is_full: bool,
}
