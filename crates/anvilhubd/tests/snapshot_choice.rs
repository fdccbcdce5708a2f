//! Guards against answers that mix snapshots, and against keys lost in a repartition.

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, answer, eventually, refusal, service, shard,
};

/// An upstream that holds `held` and refuses other snapshots.
fn holder(held: &'static [u64]) -> FakeUpstream {
    let newest = held[held.len() - 1];
    let upstream = FakeUpstream::start(move |call| match call.body["snapshot"].as_u64() {
        Some(asked) if !held.contains(&asked) => refusal(call, "snapshot_not_held", held),
        asked => {
            let mut found = answer(call, asked.unwrap_or(newest));
            found["held"] = held.into();
            FakeReply::Json(200, found)
        }
    });
    upstream.report(0, 1 << 32, held);
    upstream
}

/// The report claims a snapshot that the second shard dropped meanwhile.
#[test]
fn dropped_snapshot_is_replaced() {
    let first = holder(&[1, 2]);
    let second = holder(&[2]);
    second.report(0, 1 << 32, &[1]);
    let third = holder(&[1, 2]);
    third.report(0, 1 << 32, &[1]);
    let shards = vec![
        shard(0, 3, &[&first]),
        shard(1, 3, &[&second]),
        shard(2, 3, &[&third]),
    ];
    let mut shards = shards;
    shards[2]["end"] = (1_u64 << 32).into();
    let entry = TestEntry::start(&service(1, "direct", shards));
    eventually("the load reports are read", || {
        let (_, state) = entry.get("/state");
        let states = state["upstreams"].as_array().cloned().unwrap_or_default();
        states.len() == 3 && states.iter().all(|each| each["held"][0].is_u64())
    });

    let (_, found) = entry.search("r1", "kerb", 2_000);

    assert_eq!(found["coverage"]["complete"], true, "{found}");
    assert_eq!(found["snapshot"], 2);
    let rows = found["rows"].as_array().cloned().unwrap_or_default();
    assert!(
        rows.iter().all(|row| row["value"] == "snapshot 2"),
        "{rows:?}"
    );
}

/// A lagging report must not bring back a snapshot that the upstream dropped.
#[test]
fn lagging_report_is_outweighed() {
    let upstream = holder(&[2]);
    upstream.report(0, 1 << 32, &[1]);
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&upstream])]));
    eventually("the first load report is read", || {
        entry.get("/state").1["upstreams"][0]["held"] == serde_json::json!([1])
    });

    eventually("several reports are read meanwhile", || {
        let (_, found) = entry.search("r", "kerb", 2_000);
        assert_eq!(found["coverage"]["complete"], true, "{found}");
        upstream.calls("/load").len() >= 3
    });

    let refused = upstream.calls("/query");
    let refused = refused.iter().filter(|call| call.body["snapshot"] == 1);
    assert_eq!(
        refused.count(),
        1,
        "only the first request believes the report"
    );
}

/// The upper half of the first shard moved to the second shard's upstream.
#[test]
fn moved_keys_are_found() {
    let half = 1_u64 << 31;
    let moved = half / 2;
    let first = FakeUpstream::start(move |call| {
        let mut found = answer(call, 1);
        found["end"] = moved.into();
        FakeReply::Json(200, found)
    });
    first.report(0, moved, &[1]);
    let second = FakeUpstream::sound();
    second.report(moved, 1 << 32, &[1]);
    let shards = vec![shard(0, 2, &[&first]), shard(1, 2, &[&second])];
    let entry = TestEntry::start(&service(1, "direct", shards));
    eventually("the load reports are read", || {
        second.calls("/load").len() + first.calls("/load").len() >= 2
    });

    eventually("the moved keys are found", || {
        entry.search("r1", "kerb", 2_000).1["coverage"]["complete"] == true
    });

    let asked: Vec<_> = second
        .calls("/query")
        .iter()
        .map(|call| call.body["start"].clone())
        .collect();
    assert!(asked.contains(&moved.into()), "{asked:?}");
}
