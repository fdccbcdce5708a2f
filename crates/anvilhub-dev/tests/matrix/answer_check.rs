use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};
use anvilhub_coord::keyspace::{KeyRange, RangeSet};
use anvilhub_dev::process::{QueryCall, TestTier, TierPlan};
use anvilhub_dev::standin::upstream::{ReplicaSettings, generate_rows};
use eyre::{Result, ensure, eyre};
use serde_json::{Map, Value};

/// Starts a tier with two entries and further settings.
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

/// Sends a search through an entry, and checks its answer against the rows that the upstreams hold.
pub fn search(tier: &TestTier, entry: usize) -> Result<QueryAnswer> {
    search_within(tier, entry, 10_000)
}

/// As `search`, with a deadline.
pub fn search_within(tier: &TestTier, entry: usize, deadline_ms: u64) -> Result<QueryAnswer> {
    let call = QueryCall::search("stock", "foreman")?.with_deadline_ms(deadline_ms);
    let (_, answer) = call.send(tier.entries[entry].plan.caller_address)?;
    check_truth(&call, &answer)?;
    Ok(answer)
}

/// Checks that the answer is the caller's own, from one snapshot, and covers what it says.
pub fn check_truth(call: &QueryCall, answer: &QueryAnswer) -> Result<()> {
    ensure!(
        answer.request_id == call.request.request_id,
        "the answer to {} belongs to {}",
        call.request.request_id,
        answer.request_id
    );
    if answer.outcome != QueryOutcome::Done {
        ensure!(answer.rows.is_empty(), "{answer:?} has rows");
        return Ok(());
    }
    let Some(coverage) = &answer.coverage else {
        return Err(eyre!("{answer:?} states no coverage"));
    };
    let missing: RangeSet = coverage
        .missing
        .iter()
        .map(|part| KeyRange::new(part.start, part.end))
        .collect();
    ensure!(
        coverage.complete == missing.is_empty(),
        "{coverage:?} contradicts itself"
    );
    let stride = ReplicaSettings::default().row_stride;
    let covered = missing.gaps_in(KeyRange::WHOLE);
    let expected: Vec<_> = match answer.snapshot {
        Some(snapshot) => covered
            .ranges()
            .iter()
            .flat_map(|range| generate_rows(*range, stride, snapshot, &call.request.query))
            .collect(),
        None => Vec::new(),
    };
    let mut rows = answer.rows.clone();
    rows.sort_by_key(|row| row.key);
    ensure!(
        rows == expected,
        "{} rows where the stated coverage and snapshot have {}",
        rows.len(),
        expected.len()
    );
    Ok(())
}

pub fn is_complete(answer: &QueryAnswer) -> bool {
    answer.coverage.as_ref().is_some_and(|part| part.complete)
}

/// Checks that what a booking's outcome says agrees with its effects.
pub fn check_effects(tier: &TestTier, call: &QueryCall, outcome: QueryOutcome) -> Result<u64> {
    let effects = tier.upstreams.effect_count(&call.request.query)?;
    let agrees = match outcome {
        QueryOutcome::Done => effects == 1,
        QueryOutcome::NotRun => effects == 0,
        QueryOutcome::Unknown => effects <= 1,
    };
    ensure!(agrees, "outcome {outcome} with {effects} effects");
    Ok(effects)
}

/// Runs `work` while `callers` threads repeat `call` until it returns; gives how many calls succeeded.
pub fn under_load(
    callers: usize,
    call: impl Fn() -> Result<()> + Sync,
    work: impl FnOnce() -> Result<()>,
) -> Result<usize> {
    let stops = AtomicBool::new(false);
    thread::scope(|scope| {
        let repeat = || {
            let mut count = 0;
            while !stops.load(Ordering::SeqCst) {
                call()?;
                count += 1;
            }
            Ok(count)
        };
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(repeat)).collect();
        let worked = work();
        stops.store(true, Ordering::SeqCst);
        let mut total = 0;
        for thread in threads {
            let counted: Result<usize> = thread.join().expect("a caller does not panic");
            total += counted?;
        }
        worked.map(|()| total)
    })
}
