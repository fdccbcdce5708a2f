use super::gossip_plan::MAX_SMALL_FLEET_PEERS;

/// Rule for how many peers an instance queries when it starts or resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleRule {
    /// Maximum number of listed peers of a small fleet, in which every peer is queried and waited for.
    pub max_small_fleet_peers: usize,
    /// Number of peers that are queried at once in a larger fleet. 21 peers are on average three in each of seven
    /// failure domains.
    pub batch_size: usize,
    /// Minimum number of ready peers that must answer. A single one may have been paused and not have noticed it yet.
    pub min_ready_answers: usize,
    /// Determines the maximum number of silent peers if fewer than `min_ready_answers` peers are ready and every listed
    /// peer has been queried: the number of listed peers divided by this. For 1,899 peers and a divisor of 32 the
    /// maximum is 59: twice the failures of a day, and less than a failure domain.
    pub silent_divisor: usize,
}

impl Default for SampleRule {
    fn default() -> Self {
        Self {
            max_small_fleet_peers: MAX_SMALL_FLEET_PEERS,
            batch_size: 21,
            min_ready_answers: 3,
            silent_divisor: 32,
        }
    }
}
