use super::UpstreamLoad;

/// One replica of a shard as a candidate for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaCandidate {
    /// Load and state of the replica.
    pub load: UpstreamLoad,
    /// Whether the replica is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether the replica must not be chosen, for example because an earlier attempt of the sub-request went to it.
    pub is_excluded: bool,
    /// Whether this instance has no free connection to the replica; `false` if the attempt may wait for one.
    pub lacks_connection: bool,
}
