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
