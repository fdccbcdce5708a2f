//! Guards against bookings at an upstream that announced that it leaves. A ticketed request chooses its replica
//! by rules of its own.

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{QueryCall, wait_until};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::start_tier;
use super::leaving_upstream::{announce, one_entry, state_of};

/// Bookings that must pass the leaving upstream by.
const BOOKINGS: usize = 10;

#[test]
fn planned_stop_under_bookings() -> Result<()> {
    let tier = one_entry()?;
    let address = tier.entries[0].plan.caller_address;
    let book = || {
        let call = QueryCall::booking("dispatch", "dispatcher")?.ticketed_by(address)?;
        let (_, answer) = call.send(address)?;
        ensure!(answer.outcome == QueryOutcome::Done, "{answer:?}");
        Ok(())
    };
    let received = || Ok::<_, eyre::Report>(tier.upstreams.counts_of("dispatch-1-a")?.received);
    book()?;
    ensure!(
        received()? == 1,
        "the replica of the own domain comes first"
    );
    announce(&tier, "dispatch-1-a")?;

    for _ in 0..BOOKINGS {
        book()?;
    }

    assert_eq!(received()?, 2, "only the answer to one booking had to tell");
    Ok(())
}

/// A drained replica restarts. No instance may go on excluding it, or a rolling restart ends all bookings at
/// the instances that do not own the shard.
#[test]
fn planned_stop_ends_with_restart() -> Result<()> {
    let replica = "dispatch-1-a";
    let tier = start_tier(json!({}))?;
    let book = |entry: usize| {
        let address = tier.entries[entry].plan.caller_address;
        let call = QueryCall::booking("dispatch", "dispatcher")?.ticketed_by(address)?;
        let (_, answer) = call.send(address)?;
        ensure!(answer.outcome == QueryOutcome::Done, "{answer:?}");
        Ok(tier.upstreams.counts_of(replica)?.received)
    };
    let act = |action: &str| {
        tier.upstreams
            .command(json!({ "upstream": replica, "do": [{ "action": action }] }))
    };
    let has_status = |is_wanted: &dyn Fn(&str) -> bool| {
        tier.entries.iter().all(|entry| {
            let state = state_of(entry, replica).unwrap_or_default();
            is_wanted(state["status"].as_str().unwrap_or_default())
        })
    };
    announce(&tier, replica)?;
    for entry in [0, 1] {
        book(entry)?;
    }
    assert!(has_status(&|status| status == "leaving, by answer"));
    act("kill")?;
    wait_until("the end of the process in every view", || {
        has_status(&|status| status.ends_with("its process has ended")).then_some(())
    })?;
    act("revive")?;

    wait_until("the end of the exclusion", || {
        has_status(&|status| !status.starts_with("leaving")).then_some(())
    })?;
    for entry in [0, 1] {
        let before = tier.upstreams.counts_of(replica)?.received;
        assert_eq!(book(entry)?, before + 1, "entry {entry} excludes it");
    }
    Ok(())
}
