//! Guards against upstream stand-ins whose effects, rows or faults differ from what tests count on.

use anvilhub_coord::border::upstream::RefusalReason;
use anvilhub_coord::ids::SnapshotId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_dev::process::{HttpClient, wait_until};
use anvilhub_dev::standin::upstream::generate_rows;
use eyre::Result;
use serde_json::json;

use super::upstream_rig::{UpstreamRig, sub_request};

#[test]
fn effect_counts() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let fault = |kind| json!({ "do": [{ "action": "fault", "kind": kind }] });

    rig.upstreams.send_command(fault("effect_then_drop"))?;
    let after_effect = rig.query(&sub_request("dropped-after", false)?);
    rig.upstreams.send_command(fault("drop_before"))?;
    let before_effect = rig.query(&sub_request("dropped-before", false)?);
    rig.query(&sub_request("answered", false)?)?;
    rig.query(&sub_request("answered", false)?)?;
    rig.query(&sub_request("idempotent", true)?)?;

    assert!(after_effect.is_err() && before_effect.is_err());
    let effects = |query| rig.upstreams.effect_count(query);
    assert_eq!(effects("dropped-after")?, 1);
    assert_eq!(effects("dropped-before")?, 0);
    assert_eq!(effects("answered")?, 2);
    assert_eq!(effects("idempotent")?, 0);
    Ok(())
}

#[test]
fn killed_work() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    rig.upstreams
        .send_command(json!({ "set": { "service_us": 600_000_000 } }))?;

    let request = sub_request("lost", false)?;
    let call = HttpClient::new(rig.replicas[0]);
    let lost = std::thread::spawn(move || call.post("/query", &request));
    wait_until("the request", || {
        let counts = rig.upstreams.replica_counts("stock-1-a").ok()?;
        (counts.received == 1).then_some(())
    })?;
    rig.upstreams
        .send_command(json!({ "do": [{ "action": "kill" }] }))?;
    let answer = lost.join().expect("the call ends");
    let refused = rig.query(&sub_request("refused", true)?);
    rig.upstreams
        .send_command(json!({ "set": { "service_us": 100 }, "do": [{ "action": "revive" }] }))?;
    let (revived, _) = rig.query(&sub_request("revived", true)?)?;

    assert!(answer.is_err() && refused.is_err());
    assert_eq!(revived, 200);
    assert_eq!(rig.upstreams.effect_count("lost")?, 0);
    Ok(())
}

#[test]
fn faulty_answers() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let next = |kind| {
        rig.upstreams.send_command(json!({
            "do": [{ "action": "fault", "kind": kind, "bytes": 100_000 }]
        }))
    };

    let first = rig.answer(&sub_request("first", true)?)?;
    next("crossed")?;
    let crossed = rig.answer(&sub_request("second", true)?)?;
    next("oversized")?;
    let (_, oversized) = rig.query(&sub_request("third", true)?)?;
    next("junk")?;
    let junk = rig.answer(&sub_request("fourth", true)?);
    next("wrong_snapshot")?;
    let moved = rig.answer(&sub_request("fifth", true)?)?;

    assert_eq!(crossed, first);
    assert!(oversized.len() > 100_000);
    assert!(junk.is_err());
    assert_ne!(moved.snapshot, first.snapshot);
    Ok(())
}

#[test]
fn rows_ignore_partition() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let request = sub_request("rows", true)?;
    let whole = rig.answer(&request)?;
    let mut parts = Vec::new();
    for (start, end) in [(0, 1_000_000_001), (1_000_000_001, 1 << 32)] {
        let command = json!({ "set": { "start": start, "end": end } });
        rig.upstreams.send_command(command)?;
        let part = rig.answer(&request)?;
        assert_eq!([part.start, part.end], [start, end]);
        parts.extend(part.rows);
    }

    assert_eq!(parts, whole.rows);
    let expected = generate_rows(KeyRange::WHOLE, 1 << 24, SnapshotId(1), "rows");
    assert_eq!(parts, expected);
    Ok(())
}

#[test]
fn snapshots_change() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let act = |name: &str, snapshot: u64| {
        let action = json!({ "action": name, "snapshot": snapshot });
        rig.upstreams.send_command(json!({ "do": [action] }))
    };
    let mut request = sub_request("snapshots", true)?;

    act("publish_snapshot", 2)?;
    act("publish_snapshot", 3)?;
    let newest = rig.answer(&request)?;
    request.snapshot = Some(SnapshotId(1));
    let refusal = rig.refusal(&request)?;
    act("roll_back", 2)?;
    request.snapshot = None;
    let rolled_back = rig.answer(&request)?;

    assert_eq!(newest.snapshot, SnapshotId(3));
    assert_eq!(newest.held, [SnapshotId(2), SnapshotId(3)]);
    assert_eq!(refusal.reason, RefusalReason::SnapshotNotHeld);
    assert_eq!(rolled_back.held, [SnapshotId(2)]);
    Ok(())
}
