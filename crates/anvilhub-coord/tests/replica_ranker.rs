//! Choice of an upstream for an opaque request, and what a leaving one may still get.

use std::time::Duration;

use anvilhub_coord::gateway::{DepartureState, HedgeRule, RankedReplica, ReplicaRanker};
use anvilhub_coord::time::ClockTime;

const GRACE: Duration = Duration::from_millis(750);

fn replica(cost: f64) -> RankedReplica {
    RankedReplica {
        cost,
        queue: 0.0,
        resting: false,
        leaving: false,
        near: true,
        tried: false,
    }
}

fn choose(candidates: &[RankedReplica], is_further: bool) -> Option<usize> {
    ReplicaRanker::default().choose(candidates, is_further, || 0.0)
}

#[test]
fn least_cost_wins() {
    assert_eq!(choose(&[replica(2.0), replica(1.0)], false), Some(1));
}

#[test]
fn near_one_wins() {
    let far = RankedReplica {
        near: false,
        ..replica(1.0)
    };
    assert_eq!(choose(&[far, replica(1.1)], false), Some(1));
}

#[test]
fn resting_one_waits() {
    let resting = RankedReplica {
        resting: true,
        ..replica(0.1)
    };
    assert_eq!(choose(&[resting, replica(5.0)], false), Some(1));
    assert_eq!(choose(&[resting], false), Some(0));
}

/// A hedge went to an upstream that had announced seconds before that it leaves.
#[test]
fn leaving_gets_no_hedge() {
    let tried = RankedReplica {
        tried: true,
        ..replica(1.0)
    };
    let leaving = RankedReplica {
        leaving: true,
        ..replica(1.0)
    };
    assert_eq!(choose(&[tried, leaving], true), None);
    assert_eq!(choose(&[leaving], false), Some(0));
}

/// A shard whose only upstream leaves is served for a moment and no longer.
#[test]
fn leaving_grace_ends() {
    let mut state = DepartureState::default();
    let start = ClockTime::from_millis(1_000);
    assert!(state.set(start, true));
    assert!(!state.set(ClockTime::from_millis(1_500), true));
    assert!(state.is_usable(ClockTime::from_millis(1_700), GRACE));
    assert!(!state.is_usable(ClockTime::from_millis(1_800), GRACE));
    assert!(state.set(ClockTime::from_millis(2_000), false));
    assert!(state.is_usable(ClockTime::from_millis(9_000), GRACE));
}

/// Hedges to upstreams whose slots were taken made the queues of a crest longer.
#[test]
fn full_one_gets_no_hedge() {
    let rule = HedgeRule::default();
    let with_queue = |queue| RankedReplica {
        queue,
        ..replica(1.0)
    };
    assert!(rule.allows(&with_queue(0.0)));
    assert!(rule.allows(&with_queue(0.5)));
    assert!(!rule.allows(&with_queue(1.0)));
}
