//! Guards against requests that wait longer than their deadline, and against the outcome "not run" for a request that was
//! sent to an upstream.

use std::thread;

use serde_json::Value;

use crate::fixture::{FakeReply, FakeUpstream, TestEntry, service, shard, wait_until};

/// Slots of the only upstream.
const SLOTS: usize = 2;

/// Sends `count` requests that the upstream never finishes, and returns the answer to another one sent meanwhile.
fn answer_while_stuck(entry: &TestEntry, stuck: &FakeUpstream, count: usize) -> (u16, Value) {
    thread::scope(|scope| {
        for number in 0..count {
            scope.spawn(move || entry.send_query(&format!("r{number}"), "stuck", 3_000));
        }
        wait_until("the stuck requests run", || {
            entry.metric("anvilhub_requests_running") as usize == count
                && stuck.requests("/query").len() == SLOTS
        });
        let late_answer = entry.send_query("r", "late", 300);
        let requests = stuck.requests("/query");
        assert!(
            requests
                .iter()
                .all(|request| request.body["query"] == "stuck"),
            "a request that is answered as not run was not sent: {requests:?}"
        );
        late_answer
    })
}

fn start() -> (FakeUpstream, TestEntry) {
    let stuck = FakeUpstream::start(|_| FakeReply::EndlessBody);
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&stuck])]));
    wait_until("the admission limit is known", || {
        entry.metric("anvilhub_admission_limit") > 0.0
    });
    (stuck, entry)
}

#[test]
fn unadmitted_request_expires() {
    let (stuck, entry) = start();
    let limit = entry.metric("anvilhub_admission_limit") as usize;

    let (status, found) = answer_while_stuck(&entry, &stuck, limit);

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

    let (status, found) = answer_while_stuck(&entry, &stuck, SLOTS);

    assert_eq!(
        (status, &found["outcome"]),
        (503, &"not_run".into()),
        "{found}"
    );
    assert_eq!(found["coverage"]["missing"][0]["reason"], "timeout");
}
