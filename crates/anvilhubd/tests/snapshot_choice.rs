//! Guards against answers that mix snapshots, and against keys that are missed after a repartition.

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, build_answer, build_refusal, build_shard, build_sheet,
    wait_until,
};

/// Starts an upstream that holds the snapshots `held` and refuses others.
fn start_holder(held: &'static [u64]) -> FakeUpstream {
    let newest = held[held.len() - 1];
    let upstream = FakeUpstream::start(move |request| match request.body["snapshot"].as_u64() {
        Some(requested) if !held.contains(&requested) => {
            build_refusal(request, "snapshot_not_held", held)
        }
        requested => {
            let mut answer = build_answer(request, requested.unwrap_or(newest));
            answer["held"] = held.into();
            FakeReply::Json(200, answer)
        }
    });
    upstream.set_load_report(0, 1 << 32, held);
    upstream
}

/// The load report names a snapshot that the second shard has dropped since.
#[test]
fn dropped_snapshot_replaced() {
    let first = start_holder(&[1, 2]);
    let second = start_holder(&[2]);
    second.set_load_report(0, 1 << 32, &[1]);
    let third = start_holder(&[1, 2]);
    third.set_load_report(0, 1 << 32, &[1]);
    let shards = vec![
        build_shard(0, 3, &[&first]),
        build_shard(1, 3, &[&second]),
        build_shard(2, 3, &[&third]),
    ];
    let mut shards = shards;
    // Three shards of equal width leave out the last key, so the last shard is extended to the end of the key space.
    shards[2]["end"] = (1_u64 << 32).into();
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));
    wait_until("the load reports are read", || {
        let (_, state) = entry.get("/state");
        let states = state["upstreams"].as_array().cloned().unwrap_or_default();
        states.len() == 3 && states.iter().all(|upstream| upstream["held"][0].is_u64())
    });

    let (_, answer) = entry.send_query("r1", "kerb", 2_000);

    assert_eq!(answer["coverage"]["complete"], true, "{answer}");
    assert_eq!(answer["snapshot"], 2);
    let rows = answer["rows"].as_array().cloned().unwrap_or_default();
    assert!(
        rows.iter().all(|row| row["value"] == "snapshot 2"),
        "{rows:?}"
    );
}

/// An outdated load report must not replace the held snapshots of a newer answer.
#[test]
fn answer_overrides_report() {
    let upstream = start_holder(&[2]);
    upstream.set_load_report(0, 1 << 32, &[1]);
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    wait_until("the first load report is read", || {
        entry.get("/state").1["upstreams"][0]["held"] == serde_json::json!([1])
    });

    wait_until("several reports are read meanwhile", || {
        let (_, answer) = entry.send_query("r", "kerb", 2_000);
        assert_eq!(answer["coverage"]["complete"], true, "{answer}");
        upstream.requests("/load").len() >= 3
    });

    let refused = upstream.requests("/query");
    let refused = refused
        .iter()
        .filter(|request| request.body["snapshot"] == 1);
    assert_eq!(
        refused.count(),
        1,
        "only the first request relies on the report"
    );
}

/// The upper half of the first shard's keys has moved to the upstream of the second shard.
#[test]
fn moved_keys_found() {
    let half = 1_u64 << 31;
    let moved_start = half / 2;
    let first = FakeUpstream::start(move |request| {
        let mut answer = build_answer(request, 1);
        answer["end"] = moved_start.into();
        FakeReply::Json(200, answer)
    });
    first.set_load_report(0, moved_start, &[1]);
    let second = FakeUpstream::start_healthy();
    second.set_load_report(moved_start, 1 << 32, &[1]);
    let shards = vec![build_shard(0, 2, &[&first]), build_shard(1, 2, &[&second])];
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));
    wait_until("the load reports are read", || {
        second.requests("/load").len() + first.requests("/load").len() >= 2
    });

    wait_until("the moved keys are found", || {
        entry.send_query("r1", "kerb", 2_000).1["coverage"]["complete"] == true
    });

    let starts: Vec<_> = second
        .requests("/query")
        .iter()
        .map(|request| request.body["start"].clone())
        .collect();
    assert!(starts.contains(&moved_start.into()), "{starts:?}");
}
