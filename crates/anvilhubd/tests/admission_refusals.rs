//! Guards against requests that wait for nothing, and against a "not run" that did run.

use std::thread;

use serde_json::Value;

use crate::fixture::{FakeReply, FakeUpstream, TestEntry, eventually, service, shard};

/// Slots of the only upstream.
const SLOTS: usize = 2;

/// Sends `count` requests that the upstream never finishes, and another one meanwhile.
fn answer_behind(entry: &TestEntry, stuck: &FakeUpstream, count: usize) -> (u16, Value) {
    thread::scope(|scope| {
        for number in 0..count {
            scope.spawn(move || entry.search(&format!("r{number}"), "stuck", 3_000));
        }
        eventually("the stuck requests run", || {
            entry.metric("anvilhub_requests_running") as usize == count
                && stuck.calls("/query").len() == SLOTS
        });
        let answered = entry.search("r", "late", 300);
        let calls = stuck.calls("/query");
        assert!(
            calls.iter().all(|call| call.body["query"] == "stuck"),
            "what is answered as not run was not sent: {calls:?}"
        );
        answered
    })
}

fn start() -> (FakeUpstream, TestEntry) {
    let stuck = FakeUpstream::start(|_| FakeReply::Trickle);
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&stuck])]));
    eventually("the admission limit is known", || {
        entry.metric("anvilhub_admission_limit") > 0.0
    });
    (stuck, entry)
}

#[test]
fn unadmitted_request_expires() {
    let (stuck, entry) = start();
    let limit = entry.metric("anvilhub_admission_limit") as usize;

    let (status, found) = answer_behind(&entry, &stuck, limit);

    assert_eq!(
        (status, &found["outcome"]),
        (503, &"not_run".into()),
        "{found}"
    );
    assert_eq!(found["error"]["code"], "expired", "{found}");
}

#[test]
fn request_without_slot_expires() {
    let (stuck, entry) = start();

    let (status, found) = answer_behind(&entry, &stuck, SLOTS);

    assert_eq!(
        (status, &found["outcome"]),
        (503, &"not_run".into()),
        "{found}"
    );
    assert_eq!(found["coverage"]["missing"][0]["reason"], "timeout");
}
