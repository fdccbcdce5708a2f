//! Guards against the outcome "not run" for a request that has run, when a resend of it is refused before its ticket is
//! looked up.

use serde_json::{Value, json};

use crate::fixture::{FakeUpstream, TestEntry, build_shard, build_sheet};

/// Starts an instance with a non-idempotent service.
fn start_entry(upstream: &FakeUpstream) -> TestEntry {
    let mut sheet = build_sheet(1, "direct", vec![build_shard(0, 1, &[upstream])]);
    sheet["services"][0]["repeatability"] = "non_idempotent".into();
    TestEntry::start(&sheet)
}

/// Runs a request and returns it with its ticket.
fn run_request(entry: &TestEntry) -> Value {
    let mut request = json!({
        "request_id": "b", "caller": "foreman", "service": "stock", "query": "pallet", "key": 7,
        "deadline_ms": 5_000, "idempotent": false,
    });
    request["ticket"] = entry.post(request.to_string()).1["ticket"].clone();
    let (_, answer) = entry.post(request.to_string());
    assert_eq!(answer["outcome"], "done", "{answer}");
    request
}

#[test]
fn refused_resend_unknown() {
    let upstream = FakeUpstream::start_healthy();
    let entry = start_entry(&upstream);
    let request = run_request(&entry);
    let changes = [
        ("deadline_ms", json!(0)),
        ("caller", json!("stranger")),
        ("service", json!("nowhere")),
        ("request_id", json!("a b")),
        ("key", Value::Null),
        ("key", json!(1_u64 << 32)),
        ("extra", json!(1)),
        ("query", "x".repeat(70_000).into()),
    ];

    for (field, value) in changes {
        let mut resend = request.clone();
        resend[field] = value;
        let (_, answer) = entry.post(resend.to_string());
        assert_eq!(answer["outcome"], "unknown", "{field}: {answer}");
    }
    assert_eq!(entry.post(request.to_string()).1["outcome"], "done");
    assert_eq!(upstream.requests("/query").len(), 1);
}
