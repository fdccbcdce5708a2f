//! Guards against a planned stop that cuts or refuses a request that the balancer still sent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{HttpCall, ProcessSignal, QueryCall};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::{check_effects, is_complete, search, start_tier, under_load};

/// Callers that send without a pause.
const CALLERS: usize = 4;
/// Requests through both entries before the stop.
const FIRST_REQUESTS: usize = 10;

fn send_search(entry: SocketAddr) -> Result<()> {
    let (status, answer) = QueryCall::search("stock", "foreman")?.send(entry)?;
    ensure!(
        status == 200 && is_complete(&answer),
        "status {status}: {answer:?}"
    );
    Ok(())
}

#[test]
fn planned_stop() -> Result<()> {
    let mut tier = start_tier(json!({
        "drain_grace_ms": 2_000, "ticket_lifetime_ms": 2_000
    }))?;
    tier.upstreams
        .command(json!({ "set": { "service_us": 20_000 } }))?;
    let mut stopping = tier.entries.remove(0);
    let addresses = [
        stopping.plan.caller_address,
        tier.entries[0].plan.caller_address,
    ];
    // The balancer: it sends to both entries while the first says that it is ready.
    let ready_call = HttpCall::to(stopping.plan.operator_address);
    let turns = AtomicUsize::new(0);
    let balance = || {
        let turn = turns.fetch_add(1, Ordering::SeqCst);
        let is_ready = ready_call
            .get("/ready")
            .is_ok_and(|(status, _)| status == 200);
        addresses[usize::from(!is_ready) | (turn % 2)]
    };
    let send_booking = || {
        let call = QueryCall::booking("dispatch", "dispatcher")?.ticketed_by(balance())?;
        let (status, answer) = call.send(balance())?;
        ensure!(
            answer.outcome == QueryOutcome::Done,
            "status {status}: {answer:?}"
        );
        check_effects(&tier, &call, answer.outcome).map(drop)
    };

    let answered = under_load(
        CALLERS,
        || send_search(balance()).and_then(|()| send_booking()),
        || {
            for _ in 0..FIRST_REQUESTS {
                send_search(balance())?;
            }
            stopping.child.signal(ProcessSignal::Terminate)?;
            let exit = stopping.child.wait_exit()?;
            ensure!(exit.success(), "the entry ended with {exit}");
            Ok(())
        },
    )?;

    assert!(answered > 0);
    assert!(is_complete(&search(&tier, 0)?));
    Ok(())
}
