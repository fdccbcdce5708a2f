use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::ids::InstanceId;
use crate::time::ClockTime;

/// Time between gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers per round after a change; in a small fleet, where such a round goes to every peer, per round while
/// nothing changes. With three, 1,900 instances know a change after a few rounds.
const SPREAD_FANOUT: usize = 3;

/// Number of peers per round while nothing changes, except in a small fleet. One instead of three keeps the idle
/// traffic at the target fleet size within the control traffic budget of 6 KB/s.
const IDLE_FANOUT: usize = 1;

/// How long the larger fanout is used after a change: six rounds. A longer period would exceed the traffic budget at
/// 3,100 changes per day; the idle rounds reach the instances that the six rounds miss.
const SPREAD_PERIOD: Duration = Duration::from_secs(3);

/// Maximum number of peers in a small fleet, where a round after a change and the queries at a start go to every peer.
pub(super) const MAX_SMALL_FLEET_PEERS: usize = 32;

/// Schedules gossip rounds and selects the peers that an instance exchanges state with.
#[derive(Clone, Debug)]
pub struct GossipPlan {
    rng: SmallRng,
    next_round_at: ClockTime,
    changed_at: Option<ClockTime>,
}

impl GossipPlan {
    /// Creates a plan with a random generator seeded by `seed`. The first round is due at `now`.
    pub fn new(seed: u64, now: ClockTime) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            next_round_at: now,
            changed_at: None,
        }
    }

    /// Records that the state of this instance has changed, for example because of a new candidate or sheet in force,
    /// and makes the next round due immediately.
    pub fn record_change(&mut self, now: ClockTime) {
        self.changed_at = Some(now);
        self.next_round_at = now;
    }

    /// Returns the time at which the next round is due.
    pub fn next_round_at(&self) -> ClockTime {
        self.next_round_at
    }

    /// Starts a round if one is due at `now` and returns the peers to exchange state with. Returns no peers if no
    /// round is due.
    pub fn select_peers(&mut self, now: ClockTime, peers: &[InstanceId]) -> Vec<InstanceId> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL;
        let count = self.fanout(now, peers.len());
        peers
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect()
    }

    fn fanout(&self, now: ClockTime, peer_count: usize) -> usize {
        let is_spreading = self
            .changed_at
            .is_some_and(|changed_at| now.since(changed_at) < SPREAD_PERIOD);
        match (is_spreading, peer_count <= MAX_SMALL_FLEET_PEERS) {
            (true, true) => peer_count,
            (true, false) | (false, true) => SPREAD_FANOUT,
            (false, false) => IDLE_FANOUT,
        }
    }
}
