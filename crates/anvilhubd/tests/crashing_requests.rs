//! A query that crashes every upstream that runs it takes neither the upstreams from the other callers, nor comes back through
//! another instance.

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, build_answer, build_shard, build_sheet, wait_until,
};

/// Replicas of the only shard, each of which ends for good under the query.
const REPLICA_COUNT: usize = 10;
/// Crashes in a row from which a query is blamed. The first query is sent once more by its instance.
const BLAMING_CRASHES: usize = 3;

fn start_upstreams() -> Vec<FakeUpstream> {
    let behaviour =
        |request: &crate::fixture::ReceivedRequest| match request.body["query"] == "crash" {
            true => FakeReply::Crash,
            false => FakeReply::Json(200, build_answer(request, 1)),
        };
    (0..REPLICA_COUNT)
        .map(|_| FakeUpstream::start(behaviour))
        .collect()
}

fn build_crash_sheet(mode: &str, upstreams: &[FakeUpstream]) -> Value {
    let upstreams: Vec<&FakeUpstream> = upstreams.iter().collect();
    build_sheet(1, mode, vec![build_shard(0, 1, &upstreams)])
}

/// Returns how often the crashing query reached an upstream.
fn count_crashes(upstreams: &[FakeUpstream]) -> usize {
    let requests = upstreams
        .iter()
        .flat_map(|upstream| upstream.requests("/query"));
    requests
        .filter(|request| request.body["query"] == "crash")
        .count()
}

/// Repeats the query at one instance, and asserts that it is refused while others are served.
fn assert_refused(mode: &str) {
    let upstreams = start_upstreams();
    let entry = TestEntry::start(&build_crash_sheet(mode, &upstreams));
    for number in 0..8 {
        entry.send_query(&format!("crash-{number}"), "crash", 2_000);
    }
    assert_eq!(count_crashes(&upstreams), BLAMING_CRASHES, "mode {mode}");
    let (status, answer) = entry.send_query("crash-8", "crash", 2_000);
    assert_eq!(
        (status, &answer["outcome"], &answer["error"]["code"]),
        (503, &"not_run".into(), &"crashes_upstreams".into())
    );
    let (_, answer) = entry.send_query("sound", "kerb", 5_000);
    assert_eq!(answer["coverage"]["complete"], true, "{answer}");
}

#[test]
fn repeats_refused() {
    assert_refused("direct");
}

#[test]
fn repeats_refused_by_owner() {
    assert_refused("owner");
}

/// One instance has seen the crashes, and the other one hears of them.
#[test]
fn repeats_refused_elsewhere() {
    let upstreams = start_upstreams();
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&build_crash_sheet("direct", &upstreams));
    wait_until("the first instance blames the query", || {
        entries[0].send_query("crash", "crash", 2_000);
        entries[0].read_metric("anvilhub_blamed_requests") == 1.0
    });
    wait_until("the other instance hears of it", || {
        entries[1].read_metric("anvilhub_blamed_requests") == 1.0
    });
    let before = count_crashes(&upstreams);
    let (status, _) = entries[1].send_query("crash-9", "crash", 2_000);
    assert_eq!((status, count_crashes(&upstreams)), (503, before));
}
