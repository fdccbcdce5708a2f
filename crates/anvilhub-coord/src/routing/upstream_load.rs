use std::time::Duration;

/// Copy of the state of an `UpstreamView`, to compare replicas without holding their locks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Number of sub-requests of this instance in flight.
    pub in_flight: u32,
    /// Expected time until a sub-request that is sent now is answered.
    pub expected_latency: Duration,
    /// Whether the upstream is leaving and gets no new work.
    pub is_leaving: bool,
    /// Whether only a report says that the upstream is leaving. It gets work if the shard has no other replica.
    pub is_reported_leaving: bool,
    /// Whether the upstream is ejected, or on trial with an attempt in flight.
    pub is_ejected: bool,
}

/// One replica of a shard as a candidate for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaCandidate {
    /// Load and state of the replica.
    pub load: UpstreamLoad,
    /// Whether the replica is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether an earlier attempt of the sub-request went to this replica.
    pub is_tried: bool,
    /// Whether this instance has no free connection to the replica.
    pub is_full: bool,
}
