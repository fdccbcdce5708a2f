//! Guards against a booking that takes effect twice, and against an outcome that contradicts its effects.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};
use anvilhub_dev::process::{ProcessSignal, QueryCall, TestTier, wait_until};
use anvilhub_dev::standin::proxy::ProxyMode;
use eyre::Result;
use serde_json::json;

use super::answer_check::{check_effects, start_proxied_tier, start_tier};

fn booking(tier: &TestTier, entry: usize) -> Result<QueryCall> {
    QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(address(tier, entry))
}

fn address(tier: &TestTier, entry: usize) -> SocketAddr {
    tier.entries[entry].plan.caller_address
}

fn send_aside(call: &QueryCall, entry: SocketAddr) -> JoinHandle<Result<(u16, QueryAnswer)>> {
    let call = call.clone();
    thread::spawn(move || call.send(entry))
}

/// Delays the next answers of all dispatch replicas; their effects come at once.
fn delay_answers(tier: &TestTier, delay_ms: u64) -> Result<()> {
    tier.upstreams.send_command(json!({
        "service": "dispatch",
        "do": [{ "action": "fault", "kind": "late", "delay_ms": delay_ms }]
    }))
}

fn wait_effect(tier: &TestTier, call: &QueryCall) -> Result<()> {
    wait_until("the effect", || {
        let effects = tier.upstreams.effect_count(&call.request.query).ok()?;
        (effects == 1).then_some(())
    })
}

#[test]
fn instance_killed() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    let call = booking(&tier, 0)?;
    delay_answers(&tier, 600_000)?;
    let cut = send_aside(&call, address(&tier, 0));
    wait_effect(&tier, &call)?;

    tier.entries[0].child.kill()?;
    let cut = cut.join().expect("the call ends");
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(call.send(address(&tier, 1))?.1.outcome);
    }

    // The entry may have given up on the delayed answer just before its end.
    if let Ok((_, answer)) = cut {
        assert_eq!(answer.outcome, QueryOutcome::Unknown);
    }
    assert_eq!(outcomes, [QueryOutcome::Unknown; 3]);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

#[test]
fn process_paused() -> Result<()> {
    let lifetime_ms = 1_000;
    let tier = start_tier(json!({ "ticket_lifetime_ms": lifetime_ms }))?;
    let call = booking(&tier, 0)?;

    tier.entries[0].child.pause()?;
    let waiting = send_aside(&call, address(&tier, 0));
    thread::sleep(Duration::from_millis(2 * lifetime_ms));
    tier.entries[0].child.signal(ProcessSignal::Continue)?;
    let (_, answer) = waiting.join().expect("the call ends")?;
    let (_, resent) = call.send(address(&tier, 1))?;

    assert_ne!(answer.outcome, QueryOutcome::Done, "an expired ticket ran");
    assert_ne!(resent.outcome, QueryOutcome::Done, "an expired ticket ran");
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 0);
    Ok(())
}

#[test]
fn replica_lost() -> Result<()> {
    let tier = start_tier(json!({}))?;
    for kind in ["effect_then_drop", "drop_before", "effect_then_drop"] {
        tier.upstreams.send_command(json!({
            "service": "dispatch",
            "do": [{ "action": "clear_faults" }, { "action": "fault", "kind": kind }]
        }))?;
        let call = booking(&tier, 0)?;
        let (_, answer) = call.send(address(&tier, 0))?;
        let (_, resent) = call.send(address(&tier, 1))?;

        // A connection that closes without an answer proves nothing.
        assert_eq!(answer.outcome, QueryOutcome::Unknown);
        assert_eq!(resent.outcome, QueryOutcome::Unknown);
        let effects = check_effects(&tier, &call, answer.outcome)?;
        assert_eq!(effects, u64::from(kind == "effect_then_drop"));
    }
    Ok(())
}

#[test]
fn silent_connection() -> Result<()> {
    let tier = start_tier(json!({}))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 300_000 } }))?;
    let call = booking(&tier, 0)?.with_deadline_ms(2_000);
    let waiting = send_aside(&call, address(&tier, 0));
    wait_until("the booking", || {
        let counts = tier.upstreams.request_counts().ok()?;
        counts
            .values()
            .any(|counts| counts.received > 0)
            .then_some(())
    })?;

    tier.upstreams.send_command(json!({
        "service": "dispatch", "do": [{ "action": "silence_existing", "mode": "lose_answer" }]
    }))?;
    let (_, answer) = waiting.join().expect("the call ends")?;
    // The instance may give up on the connection before the work ends.
    wait_effect(&tier, &call)?;
    let (_, resent) = call.send(address(&tier, 1))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 1_000 } }))?;
    let next = booking(&tier, 0)?;
    let (_, after) = next.send(address(&tier, 0))?;

    assert_eq!(answer.outcome, QueryOutcome::Unknown);
    assert_eq!(resent.outcome, QueryOutcome::Unknown);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    assert_eq!(after.outcome, QueryOutcome::Done, "new connections work");
    Ok(())
}

#[test]
fn late_answer() -> Result<()> {
    let tier = start_tier(json!({}))?;
    for kind in ["crossed", "late", "doubled", "crossed", "wrong_snapshot"] {
        tier.upstreams.send_command(json!({
            "service": "dispatch",
            "do": [{ "action": "clear_faults" },
                   { "action": "fault", "kind": kind, "delay_ms": 1_500 }]
        }))?;
        let call = booking(&tier, 0)?.with_deadline_ms(1_000);
        let (_, answer) = call.send(address(&tier, 0))?;
        check_effects(&tier, &call, answer.outcome)?;
        let (_, resent) = call.send(address(&tier, 1))?;
        check_effects(&tier, &call, resent.outcome)?;
        if matches!(kind, "crossed" | "late") {
            assert_eq!(answer.outcome, QueryOutcome::Unknown, "{kind}");
        }
    }
    Ok(())
}

#[test]
fn resent_request() -> Result<()> {
    let tier = start_tier(json!({}))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 2_000_000 } }))?;
    let call = booking(&tier, 0)?;
    let mut calls = vec![send_aside(&call, address(&tier, 0))];
    wait_until("the booking", || (received(&tier).ok()? == 1).then_some(()))?;

    // Frozen replicas hold the booking until its resend has arrived.
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "freeze" }] }))?;
    let running = in_flight(&tier)?;
    calls.push(send_aside(&call, address(&tier, 0)));
    wait_until("the resend", || {
        (in_flight(&tier).ok()? > running).then_some(())
    })?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "thaw" }] }))?;
    calls.push(send_aside(&call, address(&tier, 1)));

    for call in calls {
        let (_, answer) = call.join().expect("the call ends")?;
        assert_eq!(answer.outcome, QueryOutcome::Done);
    }
    assert_eq!(received(&tier)?, 1, "a resend was sent to an upstream");
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

#[test]
fn shared_ticket() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let call = booking(&tier, 0)?;
    let mut other = call.clone();
    other.request.query = "another booking".to_owned();

    let (_, first) = call.send(address(&tier, 0))?;
    for entry in [0, 1] {
        let (_, answer) = other.send(address(&tier, entry))?;
        assert_ne!(answer.outcome, QueryOutcome::Done, "{answer:?}");
    }

    assert_eq!(first.outcome, QueryOutcome::Done);
    assert_eq!(tier.upstreams.effect_count("another booking")?, 0);
    Ok(())
}

#[test]
fn expired_ticket() -> Result<()> {
    let lifetime_ms = 200;
    let tier = start_tier(json!({ "ticket_lifetime_ms": lifetime_ms }))?;
    let call = booking(&tier, 0)?;
    thread::sleep(Duration::from_millis(2 * lifetime_ms));

    for entry in [0, 1] {
        let (_, answer) = call.send(address(&tier, entry))?;
        assert_ne!(answer.outcome, QueryOutcome::Done, "{answer:?}");
    }

    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 0);
    Ok(())
}

/// Sub-requests that arrived at any upstream.
fn received(tier: &TestTier) -> Result<u64> {
    let counts = tier.upstreams.request_counts()?;
    Ok(counts.values().map(|counts| counts.received).sum())
}

/// Requests that the first entry works on.
fn in_flight(tier: &TestTier) -> Result<u64> {
    let state = tier.entries[0].state()?;
    Ok(state["requests_in_flight"].as_u64().unwrap_or_default())
}

#[test]
fn owner_paused() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let call = booking(&tier, 0)?;

    // The request waits in the paused owner's connection, and reaches it after the caller has given up.
    tier.entries[0].child.pause()?;
    let (_, parted) = call.clone().with_deadline_ms(500).send(address(&tier, 1))?;
    tier.entries[0].child.signal(ProcessSignal::Continue)?;
    let (_, resent) = call.send(address(&tier, 0))?;
    let (_, forwarded) = call.send(address(&tier, 1))?;

    assert_eq!(parted.outcome, QueryOutcome::Unknown);
    check_effects(&tier, &call, resent.outcome)?;
    check_effects(&tier, &call, forwarded.outcome)?;
    Ok(())
}

#[test]
fn planned_stop() -> Result<()> {
    // The instance waits for its tickets, so a short life of them keeps the test short.
    let settings = json!({ "drain_grace_ms": 100, "ticket_lifetime_ms": 3_000 });
    let mut tier = start_tier(settings)?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 100_000 } }))?;
    let call = booking(&tier, 0)?;
    let waiting = send_aside(&call, address(&tier, 0));
    wait_until("the booking", || {
        let counts = tier.upstreams.request_counts().ok()?;
        counts
            .values()
            .any(|counts| counts.received > 0)
            .then_some(())
    })?;

    // Frozen replicas hold the booking until the stop is under way.
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "freeze" }] }))?;
    tier.entries[0].child.signal(ProcessSignal::Terminate)?;
    wait_until("the drain", || (!tier.entries[0].is_ready()).then_some(()))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "thaw" }] }))?;
    let (_, answer) = waiting.join().expect("the call ends")?;
    let exit = tier.entries[0].child.wait_exit()?;

    assert_eq!(answer.outcome, QueryOutcome::Done);
    assert!(exit.success(), "the entry ended with {exit}");
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

/// A partition between the entries leaves the outcome unknown at the one that does not own the ticket.
#[test]
fn entry_partition() -> Result<()> {
    let tier = start_proxied_tier()?;
    let call = booking(&tier, 0)?;
    let impatient = call.clone().with_deadline_ms(1_000);

    tier.set_proxy_mode(ProxyMode::Silent)?;
    let (_, parted) = impatient.send(address(&tier, 1))?;
    let (_, owned) = call.send(address(&tier, 0))?;
    let (_, parted_again) = impatient.send(address(&tier, 1))?;
    tier.set_proxy_mode(ProxyMode::Pass)?;
    wait_until("the recorded outcome through the other entry", || {
        let (_, healed) = call.send(address(&tier, 1)).ok()?;
        (healed.outcome == QueryOutcome::Done).then_some(())
    })?;

    assert_eq!(parted.outcome, QueryOutcome::Unknown);
    assert_eq!(owned.outcome, QueryOutcome::Done);
    assert_eq!(parted_again.outcome, QueryOutcome::Unknown);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}
