//! Guards against tails that a spare replica could cut, and against work that nobody waits for.

use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::Value;

use crate::fixture::{FakeReply, FakeUpstream, TestEntry, answer, eventually, service, shard};

#[test]
fn loser_is_cancelled() {
    let is_stuck = std::sync::Arc::new(AtomicBool::new(false));
    let upstream = || {
        let is_stuck = std::sync::Arc::clone(&is_stuck);
        FakeUpstream::start(move |call| {
            let is_first = call.body["query"] == "stuck" && !is_stuck.swap(true, Ordering::AcqRel);
            match is_first {
                true => FakeReply::Silent,
                false => FakeReply::Json(200, answer(call, 1)),
            }
        })
    };
    let replicas = [upstream(), upstream()];
    let shards = vec![shard(0, 1, &[&replicas[0], &replicas[1]])];
    let entry = TestEntry::start(&service(1, "direct", shards));
    // Hedges need 50 latencies and the budget that 20 sub-requests earn.
    for number in 0..80 {
        entry.search(&format!("r{number}"), "kerb", 2_000);
    }

    let (_, found) = entry.search("r", "stuck", 5_000);

    assert_eq!(found["coverage"]["complete"], true, "{found}");
    let calls = |path| -> Vec<_> {
        let calls = replicas.iter().flat_map(|replica| replica.calls(path));
        calls.map(|call| call.body).collect()
    };
    let mut stuck = calls("/query");
    stuck.retain(|body| body["query"] == "stuck");
    assert_eq!(stuck.len(), 2, "one first attempt and one hedge");
    // Losers among the requests before may be cancelled as well.
    eventually("the loser is cancelled", || {
        let is_stuck = |body: &Value| {
            stuck
                .iter()
                .any(|call| call["request_id"] == body["request_id"])
        };
        calls("/cancel").iter().any(is_stuck)
    });
}

/// Hedges and retries stay within the budget when every answer is a refusal.
#[test]
fn retries_are_bounded() {
    let refuse = || FakeUpstream::start(|call| crate::fixture::refusal(call, "shed", &[1]));
    let replicas = [refuse(), refuse()];
    let shards = vec![shard(0, 1, &[&replicas[0], &replicas[1]])];
    let entry = TestEntry::start(&service(1, "direct", shards));

    for number in 0..100 {
        let (status, found) = entry.search(&format!("r{number}"), "kerb", 2_000);
        assert_eq!(
            (status, &found["outcome"]),
            (503, &"not_run".into()),
            "{found}"
        );
    }

    let sent: usize = replicas
        .iter()
        .map(|replica| replica.calls("/query").len())
        .sum();
    assert!(
        (100..=106).contains(&sent),
        "{sent} sub-requests for 100 needed ones"
    );
}
