use super::RankedReplica;

/// Decides whether a hedge may be sent to an upstream.
///
/// Designed for a peak of demand at which sub-requests are late because queues are full: a hedge would join the queue
/// of the other upstream, be answered too late and delay other requests. An upstream that names a limit keeps its room
/// for first attempts and retries. So does one for which attempts of a higher priority wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeRule {
    /// Maximum length of the queue in front of a hedge, in rounds of one request per slot.
    pub max_queue_rounds: f64,
}

impl Default for HedgeRule {
    fn default() -> Self {
        Self {
            max_queue_rounds: 0.5,
        }
    }
}

impl HedgeRule {
    /// Returns whether a hedge of a route with `priority` may be sent to `replica`. `waiting_priority` is the highest
    /// priority of the attempts that wait for a connection to it, `None` if none waits or all routes have the same.
    pub fn allows(
        &self,
        replica: &RankedReplica,
        priority: u32,
        waiting_priority: Option<u32>,
    ) -> bool {
        let is_higher_waiting = waiting_priority.is_some_and(|waiting| waiting < priority);
        !is_higher_waiting && !replica.is_limited && replica.queue_rounds <= self.max_queue_rounds
    }
}
