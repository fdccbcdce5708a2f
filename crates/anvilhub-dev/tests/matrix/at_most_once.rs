//! Guards against a booking that takes effect twice and against an outcome that contradicts the effects.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};
use anvilhub_dev::process::{ProcessSignal, QueryCall, TestTier, wait_until};
use anvilhub_dev::standin::proxy::ProxyMode;
use eyre::Result;
use serde_json::json;

use super::answer_check::{check_effects, start_proxied_tier, start_tier};

/// Creates a booking and gets its ticket from an entry instance, which then owns the ticket.
fn create_ticketed_booking(tier: &TestTier, entry: usize) -> Result<QueryCall> {
    QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(caller_address(tier, entry))
}

fn caller_address(tier: &TestTier, entry: usize) -> SocketAddr {
    tier.entries[entry].plan.caller_address
}

fn send_in_background(
    call: &QueryCall,
    entry: SocketAddr,
) -> JoinHandle<Result<(u16, QueryAnswer)>> {
    let call = call.clone();
    thread::spawn(move || call.send(entry))
}

/// Delays the next answer of every dispatch replica. The effects are not delayed.
fn delay_answers(tier: &TestTier, delay_ms: u64) -> Result<()> {
    tier.upstreams.send_command(json!({
        "service": "dispatch",
        "do": [{ "action": "fault", "kind": "late", "delay_ms": delay_ms }]
    }))
}

fn wait_for_effect(tier: &TestTier, call: &QueryCall) -> Result<()> {
    wait_until("the effect", || {
        let effects = tier.upstreams.effect_count(&call.request.query).ok()?;
        (effects == 1).then_some(())
    })
}

/// The owner of a ticket is killed after the effect of its booking and before the answer. Another instance must not
/// run the booking again, and must not claim that it did not run.
#[test]
fn instance_killed() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    let call = create_ticketed_booking(&tier, 0)?;
    delay_answers(&tier, 600_000)?;
    let interrupted_call = send_in_background(&call, caller_address(&tier, 0));
    wait_for_effect(&tier, &call)?;

    tier.entries[0].child.kill()?;
    let interrupted_result = interrupted_call.join().expect("the call ends");
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(call.send(caller_address(&tier, 1))?.1.outcome);
    }

    // The entry instance may have answered just before it was killed, because the delayed answer timed out.
    if let Ok((_, answer)) = interrupted_result {
        assert_eq!(answer.outcome, QueryOutcome::Unknown);
    }
    assert_eq!(outcomes, [QueryOutcome::Unknown; 3]);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

/// An instance resumes from a pause and reads a booking whose ticket has expired meanwhile. It must not run it.
#[test]
fn process_paused() -> Result<()> {
    let lifetime_ms = 1_000;
    let tier = start_tier(json!({ "ticket_lifetime_ms": lifetime_ms }))?;
    let call = create_ticketed_booking(&tier, 0)?;

    tier.entries[0].child.pause()?;
    let waiting_call = send_in_background(&call, caller_address(&tier, 0));
    thread::sleep(Duration::from_millis(2 * lifetime_ms));
    tier.entries[0].child.signal(ProcessSignal::Continue)?;
    let (_, answer) = waiting_call.join().expect("the call ends")?;
    let (_, resent_answer) = call.send(caller_address(&tier, 1))?;

    assert_ne!(answer.outcome, QueryOutcome::Done, "an expired ticket ran");
    assert_ne!(
        resent_answer.outcome,
        QueryOutcome::Done,
        "an expired ticket ran"
    );
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 0);
    Ok(())
}

/// A replica closes the connection without an answer, before or after the effect. The booking must not be retried.
#[test]
fn replica_lost() -> Result<()> {
    let tier = start_tier(json!({}))?;
    for kind in ["effect_then_drop", "drop_before", "effect_then_drop"] {
        tier.upstreams.send_command(json!({
            "service": "dispatch",
            "do": [{ "action": "clear_faults" }, { "action": "fault", "kind": kind }]
        }))?;
        let call = create_ticketed_booking(&tier, 0)?;
        let (_, answer) = call.send(caller_address(&tier, 0))?;
        let (_, resent_answer) = call.send(caller_address(&tier, 1))?;

        // A connection that closes without an answer does not show whether the request ran.
        assert_eq!(answer.outcome, QueryOutcome::Unknown);
        assert_eq!(resent_answer.outcome, QueryOutcome::Unknown);
        let effects = check_effects(&tier, &call, answer.outcome)?;
        assert_eq!(effects, u64::from(kind == "effect_then_drop"));
    }
    Ok(())
}

/// An answer is lost on a connection that stays open. The booking must not be retried on another connection.
#[test]
fn silent_connection() -> Result<()> {
    let tier = start_tier(json!({}))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 300_000 } }))?;
    let call = create_ticketed_booking(&tier, 0)?.with_deadline_ms(2_000);
    let waiting_call = send_in_background(&call, caller_address(&tier, 0));
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
    let (_, answer) = waiting_call.join().expect("the call ends")?;
    // The entry instance may give up on the connection before the booking has run.
    wait_for_effect(&tier, &call)?;
    let (_, resent_answer) = call.send(caller_address(&tier, 1))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 1_000 } }))?;
    let next_call = create_ticketed_booking(&tier, 0)?;
    let (_, next_answer) = next_call.send(caller_address(&tier, 0))?;

    assert_eq!(answer.outcome, QueryOutcome::Unknown);
    assert_eq!(resent_answer.outcome, QueryOutcome::Unknown);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    assert_eq!(
        next_answer.outcome,
        QueryOutcome::Done,
        "new connections work"
    );
    Ok(())
}

/// Answers come late, twice, with another request id or with another snapshot. The outcome must still agree with the
/// effects.
#[test]
fn late_answer() -> Result<()> {
    let tier = start_tier(json!({}))?;
    for kind in ["crossed", "late", "doubled", "crossed", "wrong_snapshot"] {
        tier.upstreams.send_command(json!({
            "service": "dispatch",
            "do": [{ "action": "clear_faults" },
                   { "action": "fault", "kind": kind, "delay_ms": 1_500 }]
        }))?;
        let call = create_ticketed_booking(&tier, 0)?.with_deadline_ms(1_000);
        let (_, answer) = call.send(caller_address(&tier, 0))?;
        check_effects(&tier, &call, answer.outcome)?;
        let (_, resent_answer) = call.send(caller_address(&tier, 1))?;
        check_effects(&tier, &call, resent_answer.outcome)?;
        if matches!(kind, "crossed" | "late") {
            assert_eq!(answer.outcome, QueryOutcome::Unknown, "{kind}");
        }
    }
    Ok(())
}

/// A booking is resent while it runs. The copies must wait for its outcome and not run themselves.
#[test]
fn resent_request() -> Result<()> {
    let tier = start_tier(json!({}))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 2_000_000 } }))?;
    let call = create_ticketed_booking(&tier, 0)?;
    let mut calls = vec![send_in_background(&call, caller_address(&tier, 0))];
    wait_until("the booking", || {
        (received_sub_requests(&tier).ok()? == 1).then_some(())
    })?;

    // The frozen replicas do not finish the booking until the resent request has arrived.
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "freeze" }] }))?;
    let before = requests_in_flight(&tier)?;
    calls.push(send_in_background(&call, caller_address(&tier, 0)));
    wait_until("the resend", || {
        (requests_in_flight(&tier).ok()? > before).then_some(())
    })?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "thaw" }] }))?;
    calls.push(send_in_background(&call, caller_address(&tier, 1)));

    for call in calls {
        let (_, answer) = call.join().expect("the call ends")?;
        assert_eq!(answer.outcome, QueryOutcome::Done);
    }
    assert_eq!(
        received_sub_requests(&tier)?,
        1,
        "a resent request was sent to an upstream"
    );
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

/// A ticket is used for a second booking. Only the first one may run.
#[test]
fn shared_ticket() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let call = create_ticketed_booking(&tier, 0)?;
    let mut other_call = call.clone();
    other_call.request.query = "another booking".to_owned();

    let (_, first_answer) = call.send(caller_address(&tier, 0))?;
    for entry in [0, 1] {
        let (_, answer) = other_call.send(caller_address(&tier, entry))?;
        assert_ne!(answer.outcome, QueryOutcome::Done, "{answer:?}");
    }

    assert_eq!(first_answer.outcome, QueryOutcome::Done);
    assert_eq!(tier.upstreams.effect_count("another booking")?, 0);
    Ok(())
}

/// A booking arrives after its ticket has expired. It must not run.
#[test]
fn expired_ticket() -> Result<()> {
    let lifetime_ms = 200;
    let tier = start_tier(json!({ "ticket_lifetime_ms": lifetime_ms }))?;
    let call = create_ticketed_booking(&tier, 0)?;
    thread::sleep(Duration::from_millis(2 * lifetime_ms));

    for entry in [0, 1] {
        let (_, answer) = call.send(caller_address(&tier, entry))?;
        assert_ne!(answer.outcome, QueryOutcome::Done, "{answer:?}");
    }

    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 0);
    Ok(())
}

/// Returns the number of sub-requests that all upstreams have received.
fn received_sub_requests(tier: &TestTier) -> Result<u64> {
    let counts = tier.upstreams.request_counts()?;
    Ok(counts.values().map(|counts| counts.received).sum())
}

/// Returns the number of requests in flight at the first entry instance.
fn requests_in_flight(tier: &TestTier) -> Result<u64> {
    let state = tier.entries[0].state()?;
    Ok(state["requests_in_flight"].as_u64().unwrap_or_default())
}

/// The paused owner of a ticket reads a forwarded booking after the caller's deadline. The outcomes of the first
/// and of resent requests must agree with the effects.
#[test]
fn owner_paused() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let call = create_ticketed_booking(&tier, 0)?;

    // The forwarded request waits in the connection to the paused owner, which reads it after the caller's deadline.
    tier.entries[0].child.pause()?;
    let (_, timeout_answer) = call
        .clone()
        .with_deadline_ms(500)
        .send(caller_address(&tier, 1))?;
    tier.entries[0].child.signal(ProcessSignal::Continue)?;
    let (_, resent_answer) = call.send(caller_address(&tier, 0))?;
    let (_, forwarded_answer) = call.send(caller_address(&tier, 1))?;

    assert_eq!(timeout_answer.outcome, QueryOutcome::Unknown);
    check_effects(&tier, &call, resent_answer.outcome)?;
    check_effects(&tier, &call, forwarded_answer.outcome)?;
    Ok(())
}

/// The owner of a ticket is stopped while its booking runs. It must wait for the booking and answer it.
#[test]
fn planned_stop() -> Result<()> {
    // A stopping instance waits until its tickets have expired, so a short lifetime keeps the test short.
    let settings = json!({ "drain_grace_ms": 100, "ticket_lifetime_ms": 3_000 });
    let mut tier = start_tier(settings)?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "set": { "service_us": 100_000 } }))?;
    let call = create_ticketed_booking(&tier, 0)?;
    let waiting_call = send_in_background(&call, caller_address(&tier, 0));
    wait_until("the booking", || {
        let counts = tier.upstreams.request_counts().ok()?;
        counts
            .values()
            .any(|counts| counts.received > 0)
            .then_some(())
    })?;

    // The frozen replicas do not finish the booking until the instance is draining.
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "freeze" }] }))?;
    tier.entries[0].child.signal(ProcessSignal::Terminate)?;
    wait_until("the drain", || (!tier.entries[0].is_ready()).then_some(()))?;
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "thaw" }] }))?;
    let (_, answer) = waiting_call.join().expect("the call ends")?;
    let exit = tier.entries[0].child.wait_exit()?;

    assert_eq!(answer.outcome, QueryOutcome::Done);
    assert!(exit.success(), "the entry instance ended with {exit}");
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}

/// During a partition between the entry instances, the instance that does not own the ticket answers `unknown`.
#[test]
fn entry_partition() -> Result<()> {
    let tier = start_proxied_tier()?;
    let call = create_ticketed_booking(&tier, 0)?;
    let short_call = call.clone().with_deadline_ms(1_000);

    tier.set_proxy_mode(ProxyMode::Silent)?;
    let (_, partitioned_answer) = short_call.send(caller_address(&tier, 1))?;
    let (_, owner_answer) = call.send(caller_address(&tier, 0))?;
    let (_, second_partitioned_answer) = short_call.send(caller_address(&tier, 1))?;
    tier.set_proxy_mode(ProxyMode::Pass)?;
    wait_until("the recorded outcome at the other entry instance", || {
        let (_, healed_answer) = call.send(caller_address(&tier, 1)).ok()?;
        (healed_answer.outcome == QueryOutcome::Done).then_some(())
    })?;

    assert_eq!(partitioned_answer.outcome, QueryOutcome::Unknown);
    assert_eq!(owner_answer.outcome, QueryOutcome::Done);
    assert_eq!(second_partitioned_answer.outcome, QueryOutcome::Unknown);
    assert_eq!(tier.upstreams.effect_count(&call.request.query)?, 1);
    Ok(())
}
