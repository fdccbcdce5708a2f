//! Guards against input of callers that breaks an instance, uses too much memory, or affects other callers.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

use crate::fixture::{BODY_TIMEOUT, FakeUpstream, TestEntry, build_shard, build_sheet};

/// Seed of the generated bodies. It is printed so that a failure can be reproduced.
const SEED: [u8; 32] = [17; 32];
/// Number of generated bodies.
const FUZZED_BODY_COUNT: u32 = 200;

fn build_query() -> Value {
    json!({
        "request_id": "r", "caller": "foreman", "service": "stock", "query": "kerb",
        "deadline_ms": 5_000, "idempotent": true,
    })
}

/// Returns the query with one field replaced.
fn build_query_with(field: &str, value: Value) -> String {
    let mut query = build_query();
    query[field] = value;
    query.to_string()
}

/// Returns the head of a request whose body has `length` bytes.
fn build_head(length: usize) -> String {
    format!("POST /v1/query HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n")
}

/// Reads the status line of the next response.
fn read_status(stream: &mut TcpStream) -> String {
    let mut received = [0; 64];
    let length = stream.read(&mut received).expect("the daemon answers");
    let text = String::from_utf8_lossy(&received[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn refusal_names_error() {
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    let oversized = build_query_with("query", "x".repeat(70_000).into());
    let cases = [
        ("{".to_owned(), 400, "malformed_body"),
        (build_query_with("extra", json!(1)), 400, "malformed_body"),
        (
            build_query_with("request_id", json!("a b")),
            400,
            "malformed_body",
        ),
        (
            build_query_with("key", json!(1_u64 << 32)),
            400,
            "unknown_key",
        ),
        (
            build_query_with("caller", json!("stranger")),
            403,
            "caller_not_served",
        ),
        (
            build_query_with("service", json!("nowhere")),
            404,
            "unknown_service",
        ),
        (
            build_query_with("deadline_ms", json!(0)),
            504,
            "deadline_expired",
        ),
    ];

    for (body, status, code) in cases {
        let (found_status, answer) = entry.post(body);
        assert_eq!(
            (found_status, &answer["error"]["code"]),
            (status, &json!(code)),
            "{answer}"
        );
        assert_eq!(answer["outcome"], "not_run", "{answer}");
        assert!(answer["error"]["remedy"].is_string(), "{answer}");
    }
    // The part of the body that was not read may contain a ticket, so "not run" could be wrong.
    let (found_status, answer) = entry.post(oversized);
    assert_eq!(
        (found_status, &answer["error"]["code"]),
        (413, &json!("oversized_body"))
    );
    assert_eq!(answer["outcome"], "unknown", "{answer}");
    assert_eq!(upstream.requests("/query").len(), 0);
    assert_eq!(entry.send_query("r", "kerb", 5_000).0, 200);
}

/// A caller may shut down its sending direction right after the request. It still waits for the answer.
#[test]
fn half_close_answered() {
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    let body = build_query().to_string();
    let mut stream = entry.connect();
    write!(stream, "{}{body}", build_head(body.len())).expect("the daemon reads");

    stream
        .shutdown(Shutdown::Write)
        .expect("the socket is open");

    assert_eq!(read_status(&mut stream), "HTTP/1.1 200 OK");
}

/// A caller that does not finish its body must neither delay other callers nor occupy its connection for long.
#[test]
fn slow_body_refused() {
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    let mut slow = entry.connect();
    write!(slow, "{}{{", build_head(100)).expect("the daemon reads");

    assert_eq!(entry.send_query("other", "kerb", 5_000).0, 200);
    assert_eq!(read_status(&mut slow), "HTTP/1.1 408 Request Timeout");
}

#[test]
fn idle_connection_kept() {
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    let body = build_query().to_string();
    let mut stream = entry.connect();

    // A balancer keeps its connections open between requests, here for longer than the timeout for a body.
    sleep(BODY_TIMEOUT * 2);
    write!(stream, "{}{body}", build_head(body.len())).expect("the daemon reads");

    assert_eq!(read_status(&mut stream), "HTTP/1.1 200 OK");
}

#[test]
fn arbitrary_bodies_answered() {
    println!("seed {SEED:?}");
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));
    let config = Config {
        cases: FUZZED_BODY_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let original = build_query().to_string().into_bytes();
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8);

    let outcome = runner.run(&edits, |edits| {
        let mut body = original.clone();
        for (index, byte) in edits {
            let position = index.index(body.len());
            body[position] = byte;
        }
        let (status, answer) = entry.post(body);
        prop_assert!(
            matches!(status, 200 | 400 | 403 | 404 | 428 | 504),
            "{status} {answer}"
        );
        Ok(())
    });

    outcome.unwrap();
    assert_eq!(entry.send_query("r", "kerb", 5_000).0, 200);
}
