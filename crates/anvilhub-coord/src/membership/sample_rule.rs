use super::gossip_plan::SMALL_FLEET_SIZE;

/// Rule for how many peers an instance queries when it starts or resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleRule {
    /// Largest fleet, as the number of listed peers, in which every peer is queried and waited for.
    pub small_fleet_size: usize,
    /// Number of peers that are queried at once in a larger fleet. 21 peers are on average three in each of seven
    /// failure domains.
    pub batch_size: usize,
    /// Minimum number of ready peers that must answer. A single one could have been paused without having noticed it
    /// yet.
    pub min_ready_answers: usize,
    /// If fewer peers are ready, every listed peer is queried, and the number of listed peers divided by this may stay
    /// silent. For 1,899 peers and a divisor of 32 this is 59: twice the failures of a day, and less than a failure
    /// domain.
    pub silent_divisor: usize,
}

impl Default for SampleRule {
    fn default() -> Self {
        Self {
            small_fleet_size: SMALL_FLEET_SIZE,
            batch_size: 21,
            min_ready_answers: 3,
            silent_divisor: 32,
        }
    }
}
