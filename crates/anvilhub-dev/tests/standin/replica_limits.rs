//! Guards against upstream stand-ins without the limits, drains and silence that the tier must survive.

use std::net::TcpStream;
use std::thread;

use anvilhub_coord::border::upstream::{LoadReport, RefusalReason};
use anvilhub_dev::process::{HttpClient, wait_until};
use eyre::Result;
use serde_json::json;

use super::upstream_rig::{KeptConnection, UpstreamRig, sub_request};

#[test]
fn silent_connections() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let mut old = KeptConnection::open(rig.replicas[0])?;
    assert!(old.answers()?);

    rig.upstreams
        .send_command(json!({ "do": [{ "action": "silence_existing" }] }))?;

    assert!(old.is_silent()?);
    assert!(KeptConnection::open(rig.replicas[0])?.answers()?);
    assert_eq!(rig.upstreams.replica_counts("stock-1-a")?.silenced, 1);
    Ok(())
}

#[test]
fn connection_limit() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    rig.upstreams
        .send_command(json!({ "set": { "connections": 1 } }))?;

    let mut first = KeptConnection::open(rig.replicas[0])?;
    assert!(first.answers()?);
    let mut second = KeptConnection::open(rig.replicas[0])?;

    assert!(!second.answers()?);
    assert!(first.answers()?);
    let counts = rig.upstreams.replica_counts("stock-1-a")?;
    assert_eq!([counts.over_limit, counts.max_open], [1, 1]);
    Ok(())
}

#[test]
fn full_queue() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    rig.upstreams.send_command(json!({
        "set": { "slots": 1, "queue": 1, "service_us": 600_000_000 }
    }))?;

    let ids = ["running", "queued"];
    let mut calls = Vec::new();
    for (number, id) in (1..).zip(ids) {
        let request = sub_request(id, true)?;
        let call = HttpClient::new(rig.replicas[0]);
        calls.push(thread::spawn(move || call.post("/query", &request)));
        wait_until("the request", || {
            let counts = rig.upstreams.replica_counts("stock-1-a").ok()?;
            (counts.received == number).then_some(())
        })?;
    }
    let shed = rig.refusal(&sub_request("shed", true)?)?;
    let load: LoadReport = HttpClient::new(rig.replicas[0]).get_json("/load")?;
    for id in ids {
        let cancel = json!({ "request_id": id });
        HttpClient::new(rig.replicas[0]).post("/cancel", &cancel)?;
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.join().expect("the call ends")?.0);
    }

    assert_eq!(shed.reason, RefusalReason::Shed);
    assert_eq!([load.in_flight, load.queued], [1, 1]);
    assert_eq!(statuses, [503, 503]);
    let counts = rig.upstreams.replica_counts("stock-1-a")?;
    assert_eq!([counts.cancelled, counts.ran], [2, 0]);
    Ok(())
}

#[test]
fn drain_phases() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let drain = |announce: u64, refuse: u64| {
        rig.upstreams.send_command(json!({
            "do": [{ "action": "drain", "announce_ms": announce, "refuse_ms": refuse }]
        }))
    };
    let request = sub_request("drain", true)?;

    drain(3_600_000, 3_600_000)?;
    let announced = rig.answer(&request)?;
    drain(0, 3_600_000)?;
    let refused = rig.refusal(&request)?;
    drain(0, 0)?;
    wait_until("the end of listening", || {
        TcpStream::connect(rig.replicas[0]).err()
    })?;

    assert!(announced.draining);
    assert_eq!(refused.reason, RefusalReason::Draining);
    assert!(refused.draining);
    Ok(())
}

#[test]
fn misleading_load() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let call = HttpClient::new(rig.replicas[0]);

    rig.upstreams
        .send_command(json!({ "set": { "load_override": { "in_flight": 77 } } }))?;
    let falsified: LoadReport = call.get_json("/load")?;
    rig.upstreams.send_command(json!({
        "set": { "load_override": {}, "report_lag_ms": 3_600_000 }
    }))?;
    rig.upstreams.send_command(json!({
        "do": [{ "action": "publish_snapshot", "snapshot": 2 }]
    }))?;
    let lagging: LoadReport = call.get_json("/load")?;
    rig.upstreams
        .send_command(json!({ "set": { "report_lag_ms": 0 } }))?;
    let present: LoadReport = call.get_json("/load")?;

    assert_eq!(falsified.in_flight, 77);
    assert_eq!([lagging.held.len(), present.held.len()], [1, 2]);
    Ok(())
}

#[test]
fn cold_start() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let request = sub_request("cold", true)?;

    rig.upstreams
        .send_command(json!({ "do": [{ "action": "cold", "ms": 3_600_000 }] }))?;
    let refusal = rig.refusal(&request)?;
    rig.upstreams
        .send_command(json!({ "do": [{ "action": "cold", "ms": 0 }] }))?;
    let (status, _) = rig.query(&request)?;

    assert_eq!(refusal.reason, RefusalReason::Cold);
    assert_eq!(status, 200);
    Ok(())
}
