//! Guards against partial answers that do not report what is missing, or that arrive after the deadline.

use std::collections::BTreeSet;

use serde_json::json;

use crate::fixture::{
    FakeReply, FakeUpstream, ReceivedRequest, TestEntry, build_answer, build_shard, build_sheet,
};

#[test]
fn late_shard_reported() {
    let healthy = FakeUpstream::start_healthy();
    let late = FakeUpstream::start(|_| FakeReply::Silent);
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 2, &[&healthy]), build_shard(1, 2, &[&late])],
    ));

    let (status, answer) = entry.send_query("r1", "kerb", 1_000);

    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["coverage"]["fraction"], 0.5);
    assert_eq!(
        answer["coverage"]["missing"],
        json!([{"start": 1_u64 << 31, "end": 1_u64 << 32, "reason": "timeout"}])
    );
    let deadline = late.requests("/query")[0].body["deadline_ms"].as_u64();
    assert!(
        deadline.is_some_and(|time_left| time_left < 1_000),
        "the time reserve for the hop is subtracted"
    );
}

/// Checks that a bad reply of an upstream leads to a partial answer with the given reason, and that its connection is
/// not used again.
fn check_bad_reply(reply: fn(&ReceivedRequest) -> FakeReply, reason: &str) {
    let healthy = FakeUpstream::start_healthy();
    let bad = FakeUpstream::start(move |request| match request.body["query"] == "bad" {
        true => reply(request),
        false => FakeReply::Json(200, build_answer(request, 1)),
    });
    let shards = vec![build_shard(0, 2, &[&healthy]), build_shard(1, 2, &[&bad])];
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));

    let (_, answer) = entry.send_query("r1", "bad", 2_000);
    let (_, next) = entry.send_query("r2", "kerb", 2_000);

    assert_eq!(
        answer["coverage"]["missing"][0]["reason"], reason,
        "{answer}"
    );
    assert_eq!(answer["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(next["coverage"]["complete"], true, "{next}");
    let requests = bad.requests("/query");
    assert_ne!(
        requests[0].connection, requests[1].connection,
        "the connection of a bad reply is not used again"
    );
}

#[test]
fn wrong_document_discarded() {
    check_bad_reply(|_| FakeReply::Json(200, json!("junk")), "bad_answer");
}

#[test]
fn mismatched_answer_discarded() {
    let mismatched = |request: &ReceivedRequest| {
        let mut answer = build_answer(request, 1);
        answer["request_id"] = "another".into();
        FakeReply::Json(200, answer)
    };
    check_bad_reply(mismatched, "bad_answer");
}

#[test]
fn oversized_answer_discarded() {
    let oversized = |request: &ReceivedRequest| {
        let mut answer = build_answer(request, 1);
        answer["rows"][0]["value"] = "x".repeat(70_000).into();
        FakeReply::Json(200, answer)
    };
    check_bad_reply(oversized, "bad_answer");
}

#[test]
fn truncated_answer_discarded() {
    const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"request_id\":";
    check_bad_reply(|_| FakeReply::Raw(TRUNCATED.to_vec()), "timeout");
}

/// Each attempt gets a unique id even if callers repeat request ids. Otherwise a request could get a late answer to
/// another one.
#[test]
fn attempt_ids_unique() {
    let upstream = FakeUpstream::start_healthy();
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&upstream])],
    ));

    for _ in 0..3 {
        assert_eq!(entry.send_query("same", "kerb", 2_000).0, 200);
    }

    let requests = upstream.requests("/query");
    let ids: BTreeSet<_> = requests
        .iter()
        .map(|request| request.body["request_id"].as_str())
        .collect();
    assert_eq!(ids.len(), 3);
}
