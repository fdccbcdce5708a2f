//! Guards against attempts that are sent to a replica which is slower than another one, ejected, leaving, already
//! tried, or without a free connection.

use std::time::Duration;

use anvilhub_coord::routing::{
    AttemptKind, PickError, PickReason, ReplicaCandidate, ReplicaPicker, UpstreamLoad,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn create_candidate(expected_ms: u64) -> ReplicaCandidate {
    ReplicaCandidate {
        load: UpstreamLoad {
            in_flight: 0,
            expected_latency: Duration::from_millis(expected_ms),
            is_leaving: false,
            is_reported_leaving: false,
            is_ejected: false,
        },
        is_local: true,
        is_excluded: false,
        lacks_connection: false,
    }
}

fn create_ejected_candidate(expected_ms: u64) -> ReplicaCandidate {
    let mut candidate = create_candidate(expected_ms);
    candidate.load.is_ejected = true;
    candidate
}

fn pick_replica(
    candidates: &[ReplicaCandidate],
    kind: Option<AttemptKind>,
) -> Result<(usize, PickReason), PickError> {
    let mut rng = SmallRng::seed_from_u64(3);
    ReplicaPicker::default()
        .pick(candidates, kind, &mut rng)
        .map(|choice| (choice.index, choice.reason))
}

#[test]
fn fastest_replica_picked() {
    let candidates = [create_candidate(9), create_candidate(4)];
    assert_eq!(
        pick_replica(&candidates, None),
        Ok((1, PickReason::LowestLatency))
    );
}

#[test]
fn local_replica_preferred() {
    let remote = ReplicaCandidate {
        is_local: false,
        ..create_candidate(4)
    };
    assert_eq!(
        pick_replica(&[remote, create_candidate(5)], None),
        Ok((1, PickReason::SameDomain))
    );
    assert_eq!(
        pick_replica(&[remote, create_candidate(9)], None),
        Ok((0, PickReason::LowestLatency))
    );
}

#[test]
fn tried_replica_skipped() {
    let tried = ReplicaCandidate {
        is_excluded: true,
        ..create_candidate(1)
    };
    let hedge = Some(AttemptKind::Hedge);
    assert_eq!(
        pick_replica(&[tried, create_candidate(9)], hedge),
        Ok((1, PickReason::OnlyUsable))
    );
    assert_eq!(pick_replica(&[tried], hedge), Err(PickError::AllTried));
}

#[test]
fn hedge_avoids_ejected() {
    let candidates = [create_ejected_candidate(1), create_ejected_candidate(9)];
    assert_eq!(
        pick_replica(&candidates, Some(AttemptKind::Hedge)),
        Err(PickError::AllFull)
    );
    assert_eq!(
        pick_replica(&candidates, None),
        Ok((0, PickReason::AllEjected))
    );
}

#[test]
fn full_replica_skipped() {
    let full = ReplicaCandidate {
        lacks_connection: true,
        ..create_candidate(1)
    };
    assert_eq!(
        pick_replica(&[full, create_candidate(9)], None),
        Ok((1, PickReason::OnlyUsable))
    );
    assert_eq!(pick_replica(&[full, full], None), Err(PickError::AllFull));
    assert_eq!(pick_replica(&[], None), Err(PickError::NoReplica));
}

/// Guards against work that is sent to a leaving upstream because the shard's other replica is slow, and against a
/// shard without answers because of a false report.
#[test]
fn reported_replica_last() {
    let mut reported = create_candidate(1);
    reported.load.is_reported_leaving = true;
    let mut slow = create_ejected_candidate(90);

    assert_eq!(
        pick_replica(&[reported, slow], None).map(|(index, _)| index),
        Ok(1)
    );
    slow.is_excluded = true;
    let retry = Some(AttemptKind::Retry);
    assert_eq!(
        pick_replica(&[reported, slow], retry),
        Err(PickError::AllTried)
    );
    assert_eq!(
        pick_replica(&[reported], None),
        Ok((0, PickReason::OnlyUsable))
    );
}
