//! Guards against slow answers that a second replica could avoid, against attempts that run on although another one was
//! answered, and against retries beyond the retry budget.

use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, build_answer, build_shard, build_sheet, wait_until,
};

#[test]
fn slower_attempt_cancelled() {
    let was_stuck = std::sync::Arc::new(AtomicBool::new(false));
    let upstream = || {
        let was_stuck = std::sync::Arc::clone(&was_stuck);
        FakeUpstream::start(move |request| {
            let is_first =
                request.body["query"] == "stuck" && !was_stuck.swap(true, Ordering::AcqRel);
            match is_first {
                true => FakeReply::Silent,
                false => FakeReply::Json(200, build_answer(request, 1)),
            }
        })
    };
    let replicas = [upstream(), upstream()];
    let shards = vec![build_shard(0, 1, &[&replicas[0], &replicas[1]])];
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));
    // A hedge needs 50 latency samples and the budget that 20 sub-requests earn.
    for number in 0..80 {
        entry.send_query(&format!("r{number}"), "kerb", 2_000);
    }

    let (_, answer) = entry.send_query("r", "stuck", 5_000);

    assert_eq!(answer["coverage"]["complete"], true, "{answer}");
    let requests = |path| -> Vec<_> {
        let requests = replicas.iter().flat_map(|replica| replica.requests(path));
        requests.map(|request| request.body).collect()
    };
    let mut stuck = requests("/query");
    stuck.retain(|body| body["query"] == "stuck");
    assert_eq!(stuck.len(), 2, "one first attempt and one hedge");
    // Slower attempts of the requests before may be cancelled as well.
    wait_until("the slower attempt is cancelled", || {
        let is_stuck_attempt = |body: &Value| {
            stuck
                .iter()
                .any(|request| request["request_id"] == body["request_id"])
        };
        requests("/cancel").iter().any(is_stuck_attempt)
    });
}

/// Hedges and retries stay within the retry budget when every answer is a refusal.
#[test]
fn retries_are_bounded() {
    let refusing =
        || FakeUpstream::start(|request| crate::fixture::build_refusal(request, "shed", &[1]));
    let replicas = [refusing(), refusing()];
    let shards = vec![build_shard(0, 1, &[&replicas[0], &replicas[1]])];
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));

    for number in 0..100 {
        let (status, answer) = entry.send_query(&format!("r{number}"), "kerb", 2_000);
        assert_eq!(
            (status, &answer["outcome"]),
            (503, &"not_run".into()),
            "{answer}"
        );
    }

    let sent_count: usize = replicas
        .iter()
        .map(|replica| replica.requests("/query").len())
        .sum();
    assert!(
        (100..=106).contains(&sent_count),
        "{sent_count} sub-requests for 100 needed ones"
    );
}
