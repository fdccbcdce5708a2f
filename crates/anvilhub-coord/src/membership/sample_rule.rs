use super::gossip_plan::SMALL_FLEET;

/// How many peers an instance asks when it starts or resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleRule {
    /// Listed peers up to which every one is asked and waited for.
    pub small_fleet_size: usize,
    /// Peers that are asked at once in a larger fleet. 21 are three for each of seven failure domains on average.
    pub batch_size: usize,
    /// Ready peers that must answer. One could have been paused without having noticed it yet.
    pub min_ready_answers: usize,
    /// When fewer are ready, every listed peer is asked, and one in this many may stay silent. A 32nd of 1,899
    /// is 59, twice the failures of a day, and less than a failure domain.
    pub silent_divisor: usize,
}

impl Default for SampleRule {
    fn default() -> Self {
        Self {
            small_fleet_size: SMALL_FLEET,
            batch_size: 21,
            min_ready_answers: 3,
            silent_divisor: 32,
        }
    }
}
