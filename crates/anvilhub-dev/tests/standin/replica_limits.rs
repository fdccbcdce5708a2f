//! Guards against upstream stand-ins that lack the limits, drains or silent connections that the tier must handle.

use std::net::TcpStream;
use std::thread;

use anvilhub_coord::border::upstream::{LoadReport, RefusalReason};
use anvilhub_dev::process::{HttpClient, wait_until};
use eyre::Result;
use serde_json::json;

use super::upstream_fixture::{PersistentConnection, UpstreamFixture, build_sub_request};

#[test]
fn existing_connections_silenced() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let mut existing = PersistentConnection::open(fixture.replicas[0])?;
    assert!(existing.receives_answer()?);

    fixture
        .upstreams
        .send_command(json!({ "do": [{ "action": "silence_existing" }] }))?;

    assert!(existing.is_silent()?);
    assert!(PersistentConnection::open(fixture.replicas[0])?.receives_answer()?);
    assert_eq!(fixture.upstreams.replica_counts("stock-1-a")?.silenced, 1);
    Ok(())
}

#[test]
fn excess_connections_closed() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    fixture
        .upstreams
        .send_command(json!({ "set": { "connections": 1 } }))?;

    let mut first = PersistentConnection::open(fixture.replicas[0])?;
    assert!(first.receives_answer()?);
    let mut second = PersistentConnection::open(fixture.replicas[0])?;

    assert!(!second.receives_answer()?);
    assert!(first.receives_answer()?);
    let counts = fixture.upstreams.replica_counts("stock-1-a")?;
    assert_eq!([counts.over_limit, counts.max_open], [1, 1]);
    Ok(())
}

#[test]
fn full_queue_sheds() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    fixture.upstreams.send_command(json!({
        "set": { "slots": 1, "queue": 1, "service_us": 600_000_000 }
    }))?;

    let ids = ["running", "queued"];
    let mut calls = Vec::new();
    for (number, id) in (1..).zip(ids) {
        let request = build_sub_request(id, true)?;
        let client = HttpClient::new(fixture.replicas[0]);
        calls.push(thread::spawn(move || client.post("/query", &request)));
        wait_until("the request", || {
            let counts = fixture.upstreams.replica_counts("stock-1-a").ok()?;
            (counts.received == number).then_some(())
        })?;
    }
    let shed = fixture.query_refusal(&build_sub_request("shed", true)?)?;
    let load: LoadReport = HttpClient::new(fixture.replicas[0]).get_json("/load")?;
    for id in ids {
        let cancel = json!({ "request_id": id });
        HttpClient::new(fixture.replicas[0]).post("/cancel", &cancel)?;
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.join().expect("the call ends")?.0);
    }

    assert_eq!(shed.reason, RefusalReason::Shed);
    assert_eq!([load.in_flight, load.queued], [1, 1]);
    assert_eq!(statuses, [503, 503]);
    let counts = fixture.upstreams.replica_counts("stock-1-a")?;
    assert_eq!([counts.cancelled, counts.ran], [2, 0]);
    Ok(())
}

#[test]
fn drain_has_phases() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let start_drain = |announce: u64, refuse: u64| {
        fixture.upstreams.send_command(json!({
            "do": [{ "action": "drain", "announce_ms": announce, "refuse_ms": refuse }]
        }))
    };
    let request = build_sub_request("drain", true)?;

    start_drain(3_600_000, 3_600_000)?;
    let announced = fixture.query_answer(&request)?;
    start_drain(0, 3_600_000)?;
    let refused = fixture.query_refusal(&request)?;
    start_drain(0, 0)?;
    wait_until("the end of listening", || {
        TcpStream::connect(fixture.replicas[0]).err()
    })?;

    assert!(announced.draining);
    assert_eq!(refused.reason, RefusalReason::Draining);
    assert!(refused.draining);
    Ok(())
}

#[test]
fn load_reports_mislead() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let client = HttpClient::new(fixture.replicas[0]);

    fixture
        .upstreams
        .send_command(json!({ "set": { "load_override": { "in_flight": 77 } } }))?;
    let falsified: LoadReport = client.get_json("/load")?;
    fixture.upstreams.send_command(json!({
        "set": { "load_override": {}, "report_lag_ms": 3_600_000 }
    }))?;
    fixture.upstreams.send_command(json!({
        "do": [{ "action": "publish_snapshot", "snapshot": 2 }]
    }))?;
    let lagging: LoadReport = client.get_json("/load")?;
    fixture
        .upstreams
        .send_command(json!({ "set": { "report_lag_ms": 0 } }))?;
    let present: LoadReport = client.get_json("/load")?;

    assert_eq!(falsified.in_flight, 77);
    assert_eq!([lagging.held.len(), present.held.len()], [1, 2]);
    Ok(())
}

#[test]
fn cold_replica_refuses() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let request = build_sub_request("cold", true)?;

    fixture
        .upstreams
        .send_command(json!({ "do": [{ "action": "cold", "ms": 3_600_000 }] }))?;
    let refusal = fixture.query_refusal(&request)?;
    fixture
        .upstreams
        .send_command(json!({ "do": [{ "action": "cold", "ms": 0 }] }))?;
    let (status, _) = fixture.post_query(&request)?;

    assert_eq!(refusal.reason, RefusalReason::Cold);
    assert_eq!(status, 200);
    Ok(())
}
