//! Guards against upstream stand-ins whose effects, rows or faults differ from what other tests rely on.

use anvilhub_coord::border::upstream::RefusalReason;
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_dev::process::{HttpClient, wait_until};
use anvilhub_dev::standin::upstream::generate_rows;
use eyre::Result;
use serde_json::json;

use super::upstream_fixture::{UpstreamFixture, build_sub_request};

#[test]
fn effects_are_counted() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let fault_command = |kind| json!({ "do": [{ "action": "fault", "kind": kind }] });

    fixture
        .upstreams
        .send_command(fault_command("effect_then_drop"))?;
    let after_effect = fixture.post_query(&build_sub_request("dropped-after", false)?);
    fixture
        .upstreams
        .send_command(fault_command("drop_before"))?;
    let before_effect = fixture.post_query(&build_sub_request("dropped-before", false)?);
    fixture.post_query(&build_sub_request("answered", false)?)?;
    fixture.post_query(&build_sub_request("answered", false)?)?;
    fixture.post_query(&build_sub_request("idempotent", true)?)?;

    assert!(after_effect.is_err() && before_effect.is_err());
    let effects = |query| fixture.upstreams.effect_count(query);
    assert_eq!(effects("dropped-after")?, 1);
    assert_eq!(effects("dropped-before")?, 0);
    assert_eq!(effects("answered")?, 2);
    assert_eq!(effects("idempotent")?, 0);
    Ok(())
}

#[test]
fn killed_work_lost() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    fixture
        .upstreams
        .send_command(json!({ "set": { "service_us": 600_000_000 } }))?;

    let request = build_sub_request("lost", false)?;
    let client = HttpClient::new(fixture.replicas[0]);
    let lost = std::thread::spawn(move || client.post("/query", &request));
    wait_until("the request", || {
        let counts = fixture.upstreams.replica_counts("stock-1-a").ok()?;
        (counts.received == 1).then_some(())
    })?;
    fixture
        .upstreams
        .send_command(json!({ "do": [{ "action": "kill" }] }))?;
    let answer = lost.join().expect("the call ends");
    let refused = fixture.post_query(&build_sub_request("refused", true)?);
    fixture
        .upstreams
        .send_command(json!({ "set": { "service_us": 100 }, "do": [{ "action": "revive" }] }))?;
    let (revived, _) = fixture.post_query(&build_sub_request("revived", true)?)?;

    assert!(answer.is_err() && refused.is_err());
    assert_eq!(revived, 200);
    assert_eq!(fixture.upstreams.effect_count("lost")?, 0);
    Ok(())
}

#[test]
fn faults_change_answers() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let inject_fault = |kind| {
        fixture.upstreams.send_command(json!({
            "do": [{ "action": "fault", "kind": kind, "bytes": 100_000 }]
        }))
    };

    let first = fixture.query_answer(&build_sub_request("first", true)?)?;
    inject_fault("crossed")?;
    let crossed = fixture.query_answer(&build_sub_request("second", true)?)?;
    inject_fault("oversized")?;
    let (_, oversized) = fixture.post_query(&build_sub_request("third", true)?)?;
    inject_fault("junk")?;
    let junk = fixture.query_answer(&build_sub_request("fourth", true)?);
    inject_fault("wrong_snapshot")?;
    let wrong_snapshot = fixture.query_answer(&build_sub_request("fifth", true)?)?;

    assert_eq!(crossed, first);
    assert!(oversized.len() > 100_000);
    assert!(junk.is_err());
    assert_ne!(wrong_snapshot.snapshot, first.snapshot);
    Ok(())
}

#[test]
fn rows_ignore_partition() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let request = build_sub_request("rows", true)?;
    let complete = fixture.query_answer(&request)?;
    let mut partial_rows = Vec::new();
    for (start, end) in [(0, 1_000_000_001), (1_000_000_001, 1 << 32)] {
        let command = json!({ "set": { "start": start, "end": end } });
        fixture.upstreams.send_command(command)?;
        let partial = fixture.query_answer(&request)?;
        assert_eq!([partial.start, partial.end], [start, end]);
        partial_rows.extend(partial.rows);
    }

    assert_eq!(partial_rows, complete.rows);
    let expected = generate_rows(KeyRange::WHOLE, 1 << 24, SnapshotId(1), "rows");
    assert_eq!(partial_rows, expected);
    Ok(())
}

#[test]
fn snapshots_follow_actions() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let apply_action = |name: &str, snapshot: u64| {
        let action = json!({ "action": name, "snapshot": snapshot });
        fixture.upstreams.send_command(json!({ "do": [action] }))
    };
    let mut request = build_sub_request("snapshots", true)?;

    apply_action("publish_snapshot", 2)?;
    apply_action("publish_snapshot", 3)?;
    let newest = fixture.query_answer(&request)?;
    request.snapshot = Some(SnapshotId(1));
    let refusal = fixture.query_refusal(&request)?;
    apply_action("roll_back", 2)?;
    request.snapshot = None;
    let rolled_back = fixture.query_answer(&request)?;

    assert_eq!(newest.snapshot, SnapshotId(3));
    assert_eq!(newest.held, [SnapshotId(2), SnapshotId(3)]);
    assert_eq!(refusal.reason, RefusalReason::SnapshotNotHeld);
    assert_eq!(rolled_back.held, [SnapshotId(2)]);
    Ok(())
}
