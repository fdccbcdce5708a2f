//! Guards against attempts that go to a slow, failing or leaving upstream although a better one exists, and against
//! hedges that cannot help.

use std::time::Duration;

use anvilhub_coord::gateway::{HedgeRule, LeavingState, RankedReplica, ReplicaRanker};
use anvilhub_coord::time::ClockTime;

const GRACE_PERIOD: Duration = Duration::from_millis(750);

fn replica(cost: f64) -> RankedReplica {
    RankedReplica {
        cost,
        queue_rounds: 0.0,
        is_limited: false,
        is_cooling_down: false,
        is_leaving: false,
        is_local: true,
        is_overdue: false,
        remote_cost: None,
        answer_age: None,
        is_excluded: false,
    }
}

fn choose(candidates: &[RankedReplica], is_repeat: bool) -> Option<usize> {
    ReplicaRanker::default().choose(candidates, is_repeat, || 0.0)
}

#[test]
fn lowest_cost_wins() {
    assert_eq!(choose(&[replica(2.0), replica(1.0)], false), Some(1));
}

#[test]
fn local_replica_wins() {
    let remote = RankedReplica {
        is_local: false,
        ..replica(1.0)
    };
    assert_eq!(choose(&[remote, replica(1.1)], false), Some(1));
}

#[test]
fn cooldown_avoids_replica() {
    let cooling_down = RankedReplica {
        is_cooling_down: true,
        ..replica(0.1)
    };
    assert_eq!(choose(&[cooling_down, replica(5.0)], false), Some(1));
    assert_eq!(choose(&[cooling_down], false), Some(0));
}

/// Guards against hedges to an upstream that announced seconds ago that it is leaving.
#[test]
fn leaving_replica_unhedged() {
    let excluded = RankedReplica {
        is_excluded: true,
        ..replica(1.0)
    };
    let leaving = RankedReplica {
        is_leaving: true,
        ..replica(1.0)
    };
    assert_eq!(choose(&[excluded, leaving], true), None);
    assert_eq!(choose(&[leaving], false), Some(0));
}

/// The only upstream of a shard still gets requests during the grace period after it announced that it is leaving.
#[test]
fn grace_period_ends() {
    let mut state = LeavingState::default();
    let start = ClockTime::from_millis(1_000);
    assert!(state.set_leaving(start, true));
    assert!(!state.set_leaving(ClockTime::from_millis(1_500), true));
    assert!(state.is_usable(ClockTime::from_millis(1_700), GRACE_PERIOD));
    assert!(!state.is_usable(ClockTime::from_millis(1_800), GRACE_PERIOD));
    assert!(state.set_leaving(ClockTime::from_millis(2_000), false));
    assert!(state.is_usable(ClockTime::from_millis(9_000), GRACE_PERIOD));
}

/// Guards against hedges that go to upstreams without a free slot and lengthen their queues at a peak of demand.
#[test]
fn full_replica_unhedged() {
    let rule = HedgeRule::default();
    let with_queue = |queue_rounds| RankedReplica {
        queue_rounds,
        ..replica(1.0)
    };
    assert!(rule.allows(&with_queue(0.0), 1, None));
    assert!(rule.allows(&with_queue(0.5), 1, None));
    assert!(!rule.allows(&with_queue(1.0), 1, None));
}

/// Guards against hedges that take connections for which first attempts of a higher priority wait.
#[test]
fn lower_hedge_yields() {
    let rule = HedgeRule::default();
    assert!(!rule.allows(&replica(1.0), 1, Some(0)));
    assert!(rule.allows(&replica(1.0), 1, Some(1)));
    assert!(rule.allows(&replica(1.0), 0, Some(1)));
}

/// An upstream whose record is missing after an outage was refused after the grace period of a leaving one, although it
/// may write its record again later than that.
#[test]
fn missing_upstream_usable() {
    let mut state = LeavingState::default();
    assert!(state.set_missing(true));
    assert!(state.is_last_resort());
    assert!(state.is_usable(ClockTime::default() + 4 * GRACE_PERIOD, GRACE_PERIOD));
    state.set_leaving(ClockTime::default(), true);
    assert!(!state.is_usable(ClockTime::default() + 4 * GRACE_PERIOD, GRACE_PERIOD));
    state.set_leaving(ClockTime::default(), false);
    assert!(state.set_missing(false));
    assert!(!state.is_last_resort());
}
