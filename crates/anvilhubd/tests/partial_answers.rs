//! Guards against answers that hide what they lack, or come too late to be used.

use std::collections::BTreeSet;

use serde_json::json;

use crate::fixture::{FakeReply, FakeUpstream, SubCall, TestEntry, answer, service, shard};

#[test]
fn late_shard_is_named() {
    let sound = FakeUpstream::sound();
    let late = FakeUpstream::start(|_| FakeReply::Silent);
    let entry = TestEntry::start(&service(
        1,
        "direct",
        vec![shard(0, 2, &[&sound]), shard(1, 2, &[&late])],
    ));

    let (status, found) = entry.search("r1", "kerb", 1_000);

    assert_eq!(status, 200, "{found}");
    assert_eq!(found["coverage"]["fraction"], 0.5);
    assert_eq!(
        found["coverage"]["missing"],
        json!([{"start": 1_u64 << 31, "end": 1_u64 << 32, "reason": "timeout"}])
    );
    let deadline = late.calls("/query")[0].body["deadline_ms"].as_u64();
    assert!(
        deadline.is_some_and(|left| left < 1_000),
        "the hop's cost is subtracted"
    );
}

/// An upstream fault, and the reason that the answer names.
fn check_bad_answer(reply: fn(&SubCall) -> FakeReply, reason: &str) {
    let sound = FakeUpstream::sound();
    let bad = FakeUpstream::start(move |call| match call.body["query"] == "bad" {
        true => reply(call),
        false => FakeReply::Json(200, answer(call, 1)),
    });
    let shards = vec![shard(0, 2, &[&sound]), shard(1, 2, &[&bad])];
    let entry = TestEntry::start(&service(1, "direct", shards));

    let (_, found) = entry.search("r1", "bad", 2_000);
    let (_, next) = entry.search("r2", "kerb", 2_000);

    assert_eq!(found["coverage"]["missing"][0]["reason"], reason, "{found}");
    assert_eq!(found["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(next["coverage"]["complete"], true, "{next}");
    let calls = bad.calls("/query");
    assert_ne!(
        calls[0].connection, calls[1].connection,
        "the connection of a bad answer is not used again"
    );
}

#[test]
fn junk_is_discarded() {
    check_bad_answer(|_| FakeReply::Json(200, json!("junk")), "bad_answer");
}

#[test]
fn crossed_answer_is_discarded() {
    let crossed = |call: &SubCall| {
        let mut found = answer(call, 1);
        found["request_id"] = "another".into();
        FakeReply::Json(200, found)
    };
    check_bad_answer(crossed, "bad_answer");
}

#[test]
fn oversized_answer_is_discarded() {
    let oversized = |call: &SubCall| {
        let mut found = answer(call, 1);
        found["rows"][0]["value"] = "x".repeat(70_000).into();
        FakeReply::Json(200, found)
    };
    check_bad_answer(oversized, "bad_answer");
}

#[test]
fn half_answer_is_discarded() {
    const HALF: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"request_id\":";
    check_bad_answer(|_| FakeReply::Raw(HALF.to_vec()), "timeout");
}

/// Two requests with one id must not be able to get each other's late answers.
#[test]
fn repeated_ids_differ() {
    let upstream = FakeUpstream::sound();
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&upstream])]));

    for _ in 0..3 {
        assert_eq!(entry.search("same", "kerb", 2_000).0, 200);
    }

    let calls = upstream.calls("/query");
    let ids: BTreeSet<_> = calls
        .iter()
        .map(|call| call.body["request_id"].as_str())
        .collect();
    assert_eq!(ids.len(), 3);
}
