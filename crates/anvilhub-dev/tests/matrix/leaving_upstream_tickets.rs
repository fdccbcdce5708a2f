//! Guards against bookings at an upstream that has announced that it is leaving. Requests with tickets have their
//! own rules for the choice of the replica.

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{QueryCall, TestTier, wait_until};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::start_tier;
use super::leaving_upstream::{announce_drain, start_single_entry, upstream_state};

/// The replica in the failure domain of the entry instances, which prefer it.
const REPLICA: &str = "dispatch-1-a";
/// Number of bookings; enough that each replica that is not excluded receives at least one.
const BOOKING_COUNT: usize = 40;

/// Sends bookings through an entry instance. Returns how many sub-requests the replica has received so far.
fn send_bookings(tier: &TestTier, entry: usize) -> Result<u64> {
    let address = tier.entries[entry].plan.caller_address;
    for _ in 0..BOOKING_COUNT {
        let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(address)?;
        let (_, answer) = call.send(address)?;
        ensure!(answer.outcome == QueryOutcome::Done, "{answer:?}");
    }
    Ok(tier.upstreams.replica_counts(REPLICA)?.received)
}

/// Waits until `is_expected` accepts the replica's status at every entry instance.
fn wait_for_status(
    tier: &TestTier,
    description: &str,
    is_expected: impl Fn(&str) -> bool,
) -> Result<()> {
    let status_check = |entry| {
        let state = upstream_state(entry, REPLICA)?;
        state["status"].as_str().map(&is_expected)
    };
    wait_until(description, || {
        let mut entries = tier.entries.iter();
        entries
            .all(|entry| status_check(entry) == Some(true))
            .then_some(())
    })
}

/// The first booking's answer announces the drain. No further booking may be sent to the replica.
#[test]
fn planned_stop_under_bookings() -> Result<()> {
    let tier = start_single_entry()?;
    announce_drain(&tier, REPLICA)?;

    let received = send_bookings(&tier, 0)?;

    assert_eq!(
        received, 1,
        "the answer to one booking suffices to learn of the drain"
    );
    Ok(())
}

/// After a drained replica has restarted, every instance must use it again. Otherwise, a rolling restart ends all
/// bookings at the instances that do not own the shard.
#[test]
fn planned_stop_ends_with_restart() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let apply_action = |action: &str| {
        tier.upstreams
            .send_command(json!({ "upstream": REPLICA, "do": [{ "action": action }] }))
    };
    announce_drain(&tier, REPLICA)?;
    send_bookings(&tier, 0)?;
    send_bookings(&tier, 1)?;
    wait_for_status(&tier, "the announcement", |status| {
        status.starts_with("leaving")
    })?;
    apply_action("kill")?;
    wait_for_status(&tier, "the end of the process", |status| {
        status.ends_with("its process has ended")
    })?;

    apply_action("revive")?;

    wait_for_status(&tier, "the end of the exclusion", |status| {
        !status.starts_with("leaving")
    })?;
    let mut before = tier.upstreams.replica_counts(REPLICA)?.received;
    for entry in [0, 1] {
        let after = send_bookings(&tier, entry)?;
        assert!(
            after > before,
            "entry instance {entry} still excludes the replica"
        );
        before = after;
    }
    Ok(())
}
