//! Guards against slow answers that a second replica could avoid, against attempts that run on although another one was
//! answered, and against retries beyond the retry budget.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, build_answer, build_shard, build_sheet, wait_until,
};

/// Number of requests of which one has to be hedged. Ordinary requests before each earn the budget for it.
const MAX_STUCK_REQUESTS: usize = 12;

/// When a hedge is answered, the attempt that is still silent is cancelled at its upstream.
///
/// A request is only hedged if the requests before it have left enough of the retry budget, and they spend it on hedges
/// of their own when the machine is busy. The silent attempt is then retried instead, and another request is tried.
#[test]
fn slower_attempt_cancelled() {
    let is_silence_due = Arc::new(AtomicBool::new(false));
    let upstream = || {
        let is_silence_due = Arc::clone(&is_silence_due);
        FakeUpstream::start(move |request| {
            let is_silent =
                request.body["query"] == "stuck" && is_silence_due.swap(false, Ordering::AcqRel);
            match is_silent {
                true => FakeReply::Silent,
                false => FakeReply::Json(200, build_answer(request, 1)),
            }
        })
    };
    let replicas = [upstream(), upstream()];
    let shards = vec![build_shard(0, 1, &[&replicas[0], &replicas[1]])];
    let entry = TestEntry::start(&build_sheet(1, "direct", shards));
    let requests = |path| -> Vec<Value> {
        let requests = replicas.iter().flat_map(|replica| replica.requests(path));
        requests.map(|request| request.body).collect()
    };
    let hedge_count =
        || entry.read_metric("anvilhub_sub_requests_total{service=\"stock\",kind=\"hedge\"}");
    let is_hedged = |number: usize| {
        // A hedge needs 50 latency samples and the budget that 20 sub-requests earn.
        for ordinary in 0..80 {
            entry.send_query(&format!("r{number}-{ordinary}"), "kerb", 2_000);
        }
        let hedges_before = hedge_count();
        is_silence_due.store(true, Ordering::Release);
        let (_, answer) = entry.send_query(&format!("r{number}"), "stuck", 5_000);
        let is_hedged = hedge_count() > hedges_before;
        if is_hedged {
            assert_eq!(answer["coverage"]["complete"], true, "{answer}");
        }
        is_hedged
    };
    let stuck_ids = || -> HashSet<String> {
        let requests = requests("/query").into_iter();
        let stuck = requests.filter(|body| body["query"] == "stuck");
        stuck.map(|body| body["request_id"].to_string()).collect()
    };
    let hedged_ids = (0..MAX_STUCK_REQUESTS).find_map(|number| {
        let earlier_ids = stuck_ids();
        let is_hedged = is_hedged(number);
        is_hedged.then(|| &stuck_ids() - &earlier_ids)
    });
    let hedged_ids = hedged_ids.expect("a stuck request is hedged");
    assert_eq!(hedged_ids.len(), 2, "one first attempt and one hedge");
    // Slower attempts of the requests before may be cancelled as well.
    wait_until("the slower attempt is cancelled", || {
        let is_stuck_attempt = |body: &Value| hedged_ids.contains(&body["request_id"].to_string());
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
