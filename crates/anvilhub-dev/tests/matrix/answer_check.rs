use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};
use anvilhub_coord::keyspace::{KeyRange, RangeSet};
use anvilhub_dev::process::{QueryCall, TestTier, TierPlan};
use anvilhub_dev::standin::upstream::{ReplicaSettings, generate_rows};
use eyre::{Result, ensure, eyre};
use serde_json::{Map, Value};

/// Starts a tier with two entry instances that have these further settings.
pub fn start_tier(settings: Value) -> Result<TestTier> {
    let settings: Map<String, Value> = serde_json::from_value(settings)?;
    TestTier::start(&TierPlan {
        settings,
        ..TierPlan::default()
    })
}

/// Starts a tier with two entry instances that connect to each other through proxies.
pub fn start_proxied_tier() -> Result<TestTier> {
    TestTier::start(&TierPlan {
        has_proxies: true,
        ..TierPlan::default()
    })
}

/// Sends a search through an entry instance and checks its answer against the rows that the upstreams hold.
pub fn search(tier: &TestTier, entry: usize) -> Result<QueryAnswer> {
    search_with_deadline(tier, entry, 10_000)
}

/// Like `search`, with a deadline in milliseconds.
pub fn search_with_deadline(
    tier: &TestTier,
    entry: usize,
    deadline_ms: u64,
) -> Result<QueryAnswer> {
    let call = QueryCall::search("stock", "foreman")?.with_deadline_ms(deadline_ms);
    let (_, answer) = call.send(tier.entries[entry].plan.caller_address)?;
    check_answer(&call, &answer)?;
    Ok(answer)
}

/// Checks that the answer belongs to the request, comes from one snapshot and covers the ranges that it claims.
pub fn check_answer(call: &QueryCall, answer: &QueryAnswer) -> Result<()> {
    ensure!(
        answer.request_id == call.request.request_id,
        "the answer to {} has the request id {}",
        call.request.request_id,
        answer.request_id
    );
    if answer.outcome != QueryOutcome::Done {
        ensure!(
            answer.rows.is_empty(),
            "{answer:?} has rows although the request is not done"
        );
        return Ok(());
    }
    let Some(coverage) = &answer.coverage else {
        return Err(eyre!("{answer:?} has no coverage"));
    };
    let missing: RangeSet = coverage
        .missing
        .iter()
        .map(|range| KeyRange::new(range.start, range.end))
        .collect();
    ensure!(
        coverage.complete == missing.is_empty(),
        "{coverage:?} contradicts itself"
    );
    let stride = ReplicaSettings::default().row_stride;
    let covered_ranges = missing.gaps_in(KeyRange::WHOLE);
    let expected_rows: Vec<_> = match answer.snapshot {
        Some(snapshot) => covered_ranges
            .ranges()
            .iter()
            .flat_map(|range| generate_rows(*range, stride, snapshot, &call.request.query))
            .collect(),
        None => Vec::new(),
    };
    let mut rows = answer.rows.clone();
    rows.sort_by_key(|row| row.key);
    ensure!(
        rows == expected_rows,
        "the answer has {} rows; its coverage and snapshot have {}",
        rows.len(),
        expected_rows.len()
    );
    Ok(())
}

pub fn is_complete(answer: &QueryAnswer) -> bool {
    answer
        .coverage
        .as_ref()
        .is_some_and(|coverage| coverage.complete)
}

/// Checks that the outcome of a booking agrees with the number of its effects. Returns that number.
pub fn check_effects(tier: &TestTier, call: &QueryCall, outcome: QueryOutcome) -> Result<u64> {
    let effects = tier.upstreams.effect_count(&call.request.query)?;
    let is_consistent = match outcome {
        QueryOutcome::Done => effects == 1,
        QueryOutcome::NotRun => effects == 0,
        QueryOutcome::Unknown => effects <= 1,
    };
    ensure!(is_consistent, "outcome {outcome} with {effects} effects");
    Ok(effects)
}

/// Runs `work` while `caller_count` threads repeat `call`. Returns how many calls succeeded.
pub fn run_under_load(
    caller_count: usize,
    call: impl Fn() -> Result<()> + Sync,
    work: impl FnOnce() -> Result<()>,
) -> Result<usize> {
    let should_stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let repeat_call = || {
            let mut count = 0;
            while !should_stop.load(Ordering::SeqCst) {
                call()?;
                count += 1;
            }
            Ok(count)
        };
        let threads: Vec<_> = (0..caller_count)
            .map(|_| scope.spawn(repeat_call))
            .collect();
        let work_result = work();
        should_stop.store(true, Ordering::SeqCst);
        let mut total = 0;
        for thread in threads {
            let count: Result<usize> = thread.join().expect("no caller thread panics");
            total += count?;
        }
        work_result.map(|()| total)
    })
}
