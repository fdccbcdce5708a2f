use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::ids::InstanceId;
use crate::time::ClockTime;

/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Peers of a round while a change spreads. With three, 1,900 instances know a change after a few rounds.
const SPREAD_FAN_OUT: usize = 3;

/// Peers of a round while nothing changes. One instead of three keeps the idle traffic at the target size
/// within the control budget of 6 KB/s.
const IDLE_FAN_OUT: usize = 1;

/// How long after a change the larger fan-out is used: six rounds. A longer period would exceed the traffic
/// budget at 3,100 changes a day; what the six rounds miss, the idle rounds deliver.
const SPREAD_PERIOD: Duration = Duration::from_secs(3);

/// Peers up to which a round after a change, and the queries of a start, reach every one.
pub(super) const SMALL_FLEET: usize = 32;

/// Chooses the peers that an instance exchanges state with.
#[derive(Clone, Debug)]
pub struct GossipPlan {
    rng: SmallRng,
    next_round: ClockTime,
    changed_at: Option<ClockTime>,
}

impl GossipPlan {
    /// A plan whose choices follow from `seed`; the first round is due at `now`.
    pub fn new(seed: u64, now: ClockTime) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            next_round: now,
            changed_at: None,
        }
    }

    /// Notes that the own state changed, such as a new candidate or sheet: a round is due at once.
    pub fn announce_change(&mut self, now: ClockTime) {
        self.changed_at = Some(now);
        self.next_round = now;
    }

    /// When the next round is due.
    pub fn next_round_at(&self) -> ClockTime {
        self.next_round
    }

    /// The peers to exchange state with at `now`; empty when no round is due.
    pub fn select_peers(&mut self, now: ClockTime, peers: &[InstanceId]) -> Vec<InstanceId> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + ROUND_INTERVAL;
        let count = self.fan_out(now, peers.len());
        peers
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect()
    }

    fn fan_out(&self, now: ClockTime, peers: usize) -> usize {
        let is_spreading = self
            .changed_at
            .is_some_and(|changed_at| now.since(changed_at) < SPREAD_PERIOD);
        match (is_spreading, peers <= SMALL_FLEET) {
            (true, true) => peers,
            (true, false) | (false, true) => SPREAD_FAN_OUT,
            (false, false) => IDLE_FAN_OUT,
        }
    }
}
