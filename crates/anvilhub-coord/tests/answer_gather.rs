//! Guards against answers that mix snapshots, overstate their coverage, or contain answers to other requests.

use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{
    AnswerFault, AnswerGather, GatherLimits, MissingReason, ReplicaHolding, ShardHolding,
    SnapshotChooser, SnapshotPlan,
};
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::KeyRange;

fn id(text: &str) -> RequestId {
    text.parse().unwrap()
}

/// Creates an answer to `request` from snapshot 1 for `start..end`, with a row for each of `keys`.
fn answer(request: &str, start: u64, end: u64, keys: &[u64]) -> SubAnswer {
    SubAnswer {
        request_id: id(request),
        snapshot: SnapshotId(1),
        start,
        end,
        rows: keys
            .iter()
            .map(|&key| RowEntry {
                key,
                value: format!("{request}/{key}"),
            })
            .collect(),
        held: Vec::new(),
        draining: false,
        in_flight: None,
    }
}

/// Starts a gather for `0..20` at snapshot 1 that awaits `a` for `0..10` and `b` for `10..20`.
fn start_gather(limits: GatherLimits) -> AnswerGather {
    let mut gather = AnswerGather::new(KeyRange::new(0, 20), limits);
    gather.pin_snapshot(SnapshotId(1));
    gather.register(id("a"), KeyRange::new(0, 10));
    gather.register(id("b"), KeyRange::new(10, 20));
    gather
}

fn finish_keys(gather: AnswerGather) -> Vec<u64> {
    gather.finish().rows.iter().map(|row| row.key).collect()
}

#[test]
fn sub_answers_combine() {
    let mut gather = start_gather(GatherLimits::default());
    gather
        .accept_answer(&id("b"), answer("b", 10, 20, &[12]))
        .unwrap();
    assert!(!gather.is_complete());
    gather
        .accept_answer(&id("a"), answer("a", 0, 10, &[3, 15]))
        .unwrap();

    assert!(gather.coverage_report().is_complete);
    assert_eq!(
        finish_keys(gather),
        [3, 12],
        "row 15 is outside the requested range"
    );
}

#[test]
fn invalid_answers_rejected() {
    let other_snapshot = SubAnswer {
        snapshot: SnapshotId(2),
        ..answer("a", 0, 10, &[])
    };
    let cases = [
        (answer("b", 0, 10, &[]), "came for"),
        (answer("a", 0, 11, &[]), "claims 0..11"),
        (answer("a", 9, 3, &[]), "claims 9..3"),
        (answer("a", 0, 10, &[1, 2, 3]), "bound of 2 rows"),
        (other_snapshot, "snapshot 2 instead of 1"),
    ];
    for (answer, expected) in cases {
        let mut gather = start_gather(GatherLimits {
            max_rows: 2,
            ..GatherLimits::default()
        });
        let fault = gather.accept_answer(&id("a"), answer.clone()).unwrap_err();
        assert!(fault.to_string().contains(expected), "{fault}");
        let report = gather.coverage_report();
        assert_eq!(report.fraction, 0.0, "{fault}");
        assert_ne!(report.missing[0].reason, MissingReason::Timeout, "{fault}");
    }
}

#[test]
fn repeated_answers_rejected() {
    let mut gather = start_gather(GatherLimits::default());
    gather
        .accept_answer(&id("a"), answer("a", 0, 10, &[1]))
        .unwrap();
    gather.record_failure(&id("b"), MissingReason::Timeout);

    let twice = gather.accept_answer(&id("a"), answer("a", 0, 10, &[1]));
    assert_eq!(twice, Err(AnswerFault::Duplicate { request: id("a") }));
    let late = gather.accept_answer(&id("b"), answer("b", 10, 20, &[11]));
    assert_eq!(late, Err(AnswerFault::Late { request: id("b") }));
    assert_eq!(finish_keys(gather), [1]);
}

#[test]
fn overlapping_rows_dropped() {
    let mut gather = start_gather(GatherLimits::default());
    gather.register(id("hedge"), KeyRange::new(0, 10));
    gather
        .accept_answer(&id("a"), answer("a", 0, 6, &[1, 5]))
        .unwrap();
    gather
        .accept_answer(&id("hedge"), answer("hedge", 4, 10, &[5, 9]))
        .unwrap();

    assert_eq!(finish_keys(gather), [1, 5, 9]);
}

#[test]
fn gaps_returned_once() {
    let mut gather = start_gather(GatherLimits::default());
    gather
        .accept_answer(&id("a"), answer("a", 0, 7, &[]))
        .unwrap();
    gather
        .accept_answer(&id("b"), answer("b", 10, 10, &[]))
        .unwrap();
    let repartitioned = [KeyRange::new(7, 20)];
    assert_eq!(gather.take_repartitioned().ranges(), repartitioned);
    assert!(gather.take_repartitioned().is_empty());

    gather.register(id("c"), repartitioned[0]);
    gather
        .accept_answer(&id("c"), answer("c", 7, 15, &[]))
        .unwrap();
    assert!(gather.take_repartitioned().is_empty());
    let report = gather.coverage_report();
    assert_eq!(report.missing[0].to_string(), "15..20 repartitioned");
    assert_eq!(report.fraction, 0.75);
}

#[test]
fn new_snapshot_restarts() {
    let mut gather = start_gather(GatherLimits::default());
    gather
        .accept_answer(&id("a"), answer("a", 0, 10, &[1]))
        .unwrap();

    assert_eq!(gather.pin_snapshot(SnapshotId(2)), [id("b")]);
    assert_eq!(gather.gaps().ranges(), [KeyRange::new(0, 20)]);
    gather.register(id("c"), KeyRange::new(0, 20));
    let newer = SubAnswer {
        snapshot: SnapshotId(2),
        ..answer("c", 5, 20, &[7])
    };
    gather.accept_answer(&id("c"), newer).unwrap();
    let answer = gather.finish();
    assert_eq!(answer.snapshot, Some(SnapshotId(2)));
    assert_eq!(answer.rows[0].value, "c/7");
    let missing = answer.coverage.missing[0].to_string();
    assert_eq!(missing, "0..5 repartitioned");
}

#[test]
fn widest_snapshot_kept() {
    let mut gather = start_gather(GatherLimits::default());
    gather
        .accept_answer(&id("a"), answer("a", 0, 10, &[1]))
        .unwrap();
    gather.pin_snapshot(SnapshotId(2));

    let answer = gather.finish();
    assert_eq!(answer.snapshot, Some(SnapshotId(1)));
    assert_eq!(answer.rows[0].value, "a/1");
    let missing = answer.coverage.missing[0].to_string();
    assert_eq!(missing, "10..20 snapshot_unavailable");
}

/// Creates a chooser for shards of ten keys. Each replica is given as the snapshots that it holds, or `?` if they
/// are unknown.
fn build_chooser(shards: &[&[&str]]) -> SnapshotChooser {
    let replica = |shard: usize, index: usize, held: &str| ReplicaHolding {
        upstream: format!("u{shard}{index}").parse().unwrap(),
        held_snapshots: match held {
            "?" => None,
            list => Some(
                list.split_whitespace()
                    .map(|id| id.parse().unwrap())
                    .collect(),
            ),
        },
    };
    let shards = shards.iter().enumerate().map(|(shard, replicas)| {
        let start = shard as u64 * 10;
        ShardHolding {
            range: KeyRange::new(start, start + 10),
            replicas: (replicas.iter().enumerate())
                .map(|(index, held)| replica(shard, index, held))
                .collect(),
        }
    });
    SnapshotChooser::new(KeyRange::new(0, 30), shards.collect())
}

fn format_plan(plan: &SnapshotPlan) -> String {
    let shards = plan.shards.iter().map(|shard| {
        let replicas: Vec<_> = shard.replicas.iter().map(ToString::to_string).collect();
        let reason = shard.unserved_reason.map(|reason| reason.to_string());
        reason.unwrap_or(replicas.join(" "))
    });
    let snapshot = plan.snapshot.map_or("any".to_owned(), |id| id.to_string());
    let shards: Vec<_> = shards.collect();
    format!("{snapshot}: {}", shards.join(", "))
}

#[test]
fn choice_follows_reports() {
    let cases: [(&[&[&str]], &str); 8] = [
        (&[&["5"], &["5"], &["5"]], "5: u00, u10, u20"),
        // Replicas move to snapshot 6 at different times: the complete snapshot is chosen.
        (&[&["6", "5"], &["6"], &["5", "5 6"]], "6: u00, u10, u21"),
        (&[&["6", "5"], &["5"], &["5"]], "5: u01, u10, u20"),
        // Two snapshots are complete: the newest one is chosen.
        (&[&["5 6"], &["5 6"], &["6 5"]], "6: u00, u10, u20"),
        // After a rollback, most replicas no longer hold snapshot 6.
        (&[&["5"], &["5"], &["5 6"]], "5: u00, u10, u20"),
        // A replica that has not reported may hold any snapshot. One that reported the snapshot comes first.
        (&[&["?", "5"], &["?"], &["5"]], "5: u01 u00, u10, u20"),
        (
            &[&["5"], &["5"], &["6"]],
            "5: u00, u10, snapshot_unavailable",
        ),
        (&[&["?"], &[], &["?"]], "any: u00, no_replica, u20"),
    ];
    for (shards, expected) in cases {
        assert_eq!(format_plan(&build_chooser(shards).choose()), expected);
    }
}

#[test]
fn two_rechoices_allowed() {
    let mut chooser = build_chooser(&[&["?"], &["7"], &["6 7"]]);
    assert_eq!(format_plan(&chooser.choose()), "7: u00, u10, u20");

    chooser.record_held_snapshots(&"u00".parse().unwrap(), &[SnapshotId(6)]);
    chooser.record_held_snapshots(&"u10".parse().unwrap(), &[SnapshotId(6)]);
    let plan = chooser.choose_again().unwrap();
    assert_eq!(format_plan(&plan), "6: u00, u10, u20");
    assert!(chooser.choose_again().is_some());
    assert!(chooser.choose_again().is_none());
}

#[test]
fn outdated_reports_distrusted() {
    let mut chooser = build_chooser(&[&["1"], &["1"], &["1"]]);
    chooser.record_held_snapshots(&"u20".parse().unwrap(), &[SnapshotId(2)]);
    let plan = chooser.choose_again().unwrap();
    assert_eq!(format_plan(&plan), "2: u00, u10, u20");

    chooser.record_held_snapshots(&"u00".parse().unwrap(), &[SnapshotId(1)]);
    chooser.record_held_snapshots(&"u10".parse().unwrap(), &[SnapshotId(1)]);
    let plan = chooser.choose_again().unwrap();
    assert_eq!(format_plan(&plan), "1: u00, u10, snapshot_unavailable");
}

#[test]
fn unchanged_report_ignored() {
    let mut chooser = build_chooser(&[&["1"], &["1"], &["1"]]);
    chooser.record_held_snapshots(&"u00".parse().unwrap(), &[SnapshotId(1)]);
    chooser.record_held_snapshots(&"u20".parse().unwrap(), &[SnapshotId(2)]);
    // A repeated report does not show that the replica lacks snapshot 2.
    chooser.refresh_held_snapshots(&"u10".parse().unwrap(), &[SnapshotId(1)]);
    let plan = chooser.choose_again().unwrap();
    assert_eq!(format_plan(&plan), "2: u00, u10, u20");
}
