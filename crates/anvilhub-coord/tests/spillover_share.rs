//! Guards against a share of attempts that swings, outlives what is known, or keeps attempts at upstreams in trouble.

use std::time::Duration;

use anvilhub_coord::gateway::{
    RankedReplica, RemoteSaving, ReplicaRanker, SpilloverChange, SpilloverShare,
};
use anvilhub_coord::time::ClockTime;

fn saving(local_cost: f64, answer_age_ms: Option<u64>) -> RemoteSaving {
    RemoteSaving {
        local_cost,
        remote_cost: 1.0,
        answer_age: answer_age_ms.map(Duration::from_millis),
    }
}

/// The share must grow by bounded steps, stay between the thresholds, fall when leaving does not pay, and not begin
/// again at once.
#[test]
fn share_steps() {
    let mut share = SpilloverShare::default();
    let mut record = |now_ms, cost| {
        let change = share.record_choice(ClockTime::from_millis(now_ms), &saving(cost, Some(100)));
        (change, share.get())
    };
    let rising: Vec<_> = (0..200)
        .map(|index| record(1_000 + 20 * index, 2.0))
        .collect();
    assert_eq!(rising[0].0, Some(SpilloverChange::Begins));
    assert!(rising[0].1 < 0.11);
    assert!(
        rising
            .windows(16)
            .all(|window| window[15].1 - window[0].1 < 0.11)
    );
    assert!(rising[199].1 > 0.99);
    let mixed: Vec<_> = (0..50)
        .map(|index| record(5_000 + 20 * index, (index % 8) as f64))
        .collect();
    assert!(mixed.iter().all(|(_, share)| *share > 0.99));
    let falling: Vec<_> = (0..250)
        .map(|index| record(6_000 + 20 * index, 0.5))
        .collect();
    let ends = falling
        .iter()
        .filter(|(change, _)| *change == Some(SpilloverChange::Ends));
    assert_eq!(ends.count(), 1);
    assert_eq!(falling[249].1, 0.0);
}

/// Without fresh answers of the other domains or without attempts, the share must fall back to none.
#[test]
fn stale_share_expires() {
    let mut share = SpilloverShare::default();
    for now_ms in (1_000..10_500).step_by(100) {
        let change = share.record_choice(ClockTime::from_millis(now_ms), &saving(2.0, None));
        assert_eq!(change.is_some(), now_ms == 1_000);
    }
    let mut stale = share;
    let late = ClockTime::from_millis(12_000);
    let change = stale.record_choice(late, &saving(2.0, Some(10_500)));
    assert_eq!(change, Some(SpilloverChange::Expires));
    assert_eq!(stale.get(), 0.0);
    let mut idle = share;
    assert_eq!(idle.expire(ClockTime::from_millis(20_000)), None);
    assert_eq!(
        idle.expire(ClockTime::from_millis(21_000)),
        Some(SpilloverChange::Expires)
    );
}

/// A share of none must not keep an attempt at an upstream that pauses, is full or was tried already.
#[test]
fn failures_unbounded() {
    let ranker = ReplicaRanker {
        leaving_share: 0.0,
        ..ReplicaRanker::default()
    };
    let choose = |cost, is_overdue, is_repeat| {
        let local = RankedReplica {
            cost,
            queue_rounds: 0.0,
            is_limited: false,
            is_cooling_down: false,
            is_leaving: false,
            is_local: true,
            is_overdue,
            remote_cost: None,
            answer_age: None,
            is_excluded: false,
        };
        let remote = RankedReplica {
            cost: 1.0,
            is_local: false,
            is_overdue: false,
            remote_cost: Some(0.2),
            ..local
        };
        ranker.choose(&[local, remote], is_repeat, || 0.5)
    };
    assert_eq!(choose(2.0, false, false), Some(0));
    assert_eq!(choose(2.7, false, false), Some(1));
    assert_eq!(choose(2.0, true, false), Some(1));
    assert_eq!(choose(2.0, false, true), Some(1));
}
