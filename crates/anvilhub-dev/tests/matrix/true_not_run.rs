//! Guards against the outcome "not run" for a booking that took effect or takes effect later.

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::QueryCall;
use eyre::Result;
use serde_json::json;

use super::answer_check::{check_effects, start_tier};

/// Replicas refuse bookings, close connections after the effect, die and come back. An outcome "not run" must hold,
/// also when the booking is resent later.
#[test]
fn replica_lost() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let entry = |number: usize| tier.entries[number % 2].plan.caller_address;
    tier.upstreams.send_command(json!({
        "service": "dispatch", "set": { "shed": 0.6, "seed": 7 }
    }))?;
    let mut calls = Vec::new();
    for number in 0..24 {
        match number % 6 {
            2 => tier.upstreams.send_command(json!({
                "service": "dispatch", "do": [{ "action": "fault", "kind": "effect_then_drop" }]
            }))?,
            4 => tier.upstreams.send_command(json!({
                "upstream": "dispatch-1-b", "do": [{ "action": "kill" }]
            }))?,
            5 => tier.upstreams.send_command(json!({
                "upstream": "dispatch-1-b", "do": [{ "action": "revive" }]
            }))?,
            _ => {}
        }
        let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(entry(number))?;
        let (_, answer) = call.send(entry(number))?;
        check_effects(&tier, &call, answer.outcome)?;
        calls.push((call, answer.outcome));
    }
    tier.upstreams
        .send_command(json!({ "service": "dispatch", "do": [{ "action": "kill" }] }))?;
    let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(entry(0))?;
    let (_, refused_answer) = call.send(entry(0))?;
    tier.upstreams.send_command(
        json!({ "service": "dispatch", "do": [{ "action": "revive" }], "set": { "shed": 0.0 } }),
    )?;

    // A refusal is final: when the ticket is resent later, with all replicas running, nothing runs.
    for (call, outcome) in &calls {
        let (_, resent_answer) = call.send(entry(1))?;
        check_effects(&tier, call, *outcome)?;
        check_effects(&tier, call, resent_answer.outcome)?;
    }
    // When every connection was refused, it is proved that nothing ran.
    assert_eq!(refused_answer.outcome, QueryOutcome::NotRun);
    Ok(())
}
