use super::RankedReplica;

/// Decides whether an upstream gets a hedge.
///
/// Answers the load pattern of a crest at which parts are late because queues are full: a hedge would join the queue of the
/// other upstream, come too late and delay others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeRule {
    /// Rounds of work in front of a hedge above which none is sent.
    pub most_queue: f64,
}

impl Default for HedgeRule {
    fn default() -> Self {
        Self { most_queue: 0.5 }
    }
}

impl HedgeRule {
    /// Says whether a hedge may go to `replica`.
    pub fn allows(&self, replica: &RankedReplica) -> bool {
        replica.queue <= self.most_queue
    }
}
