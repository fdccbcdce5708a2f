//! Guards against bookings at an upstream that announced that it leaves. A ticketed request chooses its replica
//! by rules of its own.

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{QueryCall, TestTier, wait_until};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::start_tier;
use super::leaving_upstream::{announce, one_entry, state_of};

/// The replica in the failure domain of the entries, which they prefer.
const REPLICA: &str = "dispatch-1-a";
/// Bookings of which at least one goes to each replica that is not excluded.
const BOOKINGS: usize = 40;

/// Sends bookings through an entry, and gives how many sub-requests the replica received so far.
fn book(tier: &TestTier, entry: usize) -> Result<u64> {
    let address = tier.entries[entry].plan.caller_address;
    for _ in 0..BOOKINGS {
        let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(address)?;
        let (_, answer) = call.send(address)?;
        ensure!(answer.outcome == QueryOutcome::Done, "{answer:?}");
    }
    Ok(tier.upstreams.replica_counts(REPLICA)?.received)
}

/// Waits until every entry's state of the replica is as wanted.
fn wait_status(tier: &TestTier, what: &str, is_wanted: impl Fn(&str) -> bool) -> Result<()> {
    let has_status = |entry| {
        let state = state_of(entry, REPLICA)?;
        state["status"].as_str().map(&is_wanted)
    };
    wait_until(what, || {
        let mut entries = tier.entries.iter();
        entries
            .all(|entry| has_status(entry) == Some(true))
            .then_some(())
    })
}

#[test]
fn planned_stop_under_bookings() -> Result<()> {
    let tier = one_entry()?;
    announce(&tier, REPLICA)?;

    let received = book(&tier, 0)?;

    assert_eq!(received, 1, "only the answer to one booking had to tell");
    Ok(())
}

/// A drained replica restarts. No instance may go on excluding it, or a rolling restart ends all bookings at
/// the instances that do not own the shard.
#[test]
fn planned_stop_ends_with_restart() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let act = |action: &str| {
        tier.upstreams
            .send_command(json!({ "upstream": REPLICA, "do": [{ "action": action }] }))
    };
    announce(&tier, REPLICA)?;
    book(&tier, 0)?;
    book(&tier, 1)?;
    wait_status(&tier, "the news", |status| status.starts_with("leaving"))?;
    act("kill")?;
    wait_status(&tier, "the end of the process", |status| {
        status.ends_with("its process has ended")
    })?;

    act("revive")?;

    wait_status(&tier, "the end of the exclusion", |status| {
        !status.starts_with("leaving")
    })?;
    let mut before = tier.upstreams.replica_counts(REPLICA)?.received;
    for entry in [0, 1] {
        let after = book(&tier, entry)?;
        assert!(after > before, "entry {entry} excludes it");
        before = after;
    }
    Ok(())
}
