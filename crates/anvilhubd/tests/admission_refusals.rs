//! Guards against requests that wait longer than their deadline, and against the outcome "not run" for a request that
//! was sent to an upstream.

use std::thread;

use serde_json::Value;

use crate::fixture::{FakeReply, FakeUpstream, TestEntry, build_shard, build_sheet, wait_until};

/// Slots of the only upstream.
const SLOT_COUNT: usize = 2;

/// Sends `count` requests that the upstream never finishes, and returns the answer to another one sent meanwhile.
fn query_while_stuck(entry: &TestEntry, stuck: &FakeUpstream, count: usize) -> (u16, Value) {
    thread::scope(|scope| {
        for number in 0..count {
            scope.spawn(move || entry.send_query(&format!("r{number}"), "stuck", 3_000));
        }
        wait_until("the stuck requests run", || {
            entry.read_metric("anvilhub_requests_running") as usize == count
                && stuck.requests("/query").len() == SLOT_COUNT
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

fn start_entry() -> (FakeUpstream, TestEntry) {
    let stuck = FakeUpstream::start(|_| FakeReply::EndlessBody);
    let entry = TestEntry::start(&build_sheet(
        1,
        "direct",
        vec![build_shard(0, 1, &[&stuck])],
    ));
    wait_until("the admission limit is known", || {
        entry.read_metric("anvilhub_admission_limit") > 0.0
    });
    (stuck, entry)
}

/// While as many requests run as the admission limit allows, a further one waits for admission until its deadline. It
/// was never sent, so the caller must be told that it did not run.
#[test]
fn unadmitted_request_expires() {
    let (stuck, entry) = start_entry();
    let limit = entry.read_metric("anvilhub_admission_limit") as usize;

    let (status, answer) = query_while_stuck(&entry, &stuck, limit);

    assert_eq!(
        (status, &answer["outcome"]),
        (503, &"not_run".into()),
        "{answer}"
    );
    assert_eq!(answer["error"]["code"], "expired", "{answer}");
}

/// While all slots of the shard are occupied, an admitted request waits for one until its deadline. It was never sent,
/// so the caller must be told that it did not run.
#[test]
fn slotless_request_expires() {
    let (stuck, entry) = start_entry();

    let (status, answer) = query_while_stuck(&entry, &stuck, SLOT_COUNT);

    assert_eq!(
        (status, &answer["outcome"]),
        (503, &"not_run".into()),
        "{answer}"
    );
    assert_eq!(answer["coverage"]["missing"][0]["reason"], "timeout");
}
