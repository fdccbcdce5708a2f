use super::UpstreamLoad;

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
