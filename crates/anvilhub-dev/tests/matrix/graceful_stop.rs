//! Guards against a planned stop that cuts or refuses a request that the balancer still sent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{EntryProcess, HttpClient, ProcessSignal, QueryCall};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::{check_effects, is_complete, search, start_tier, under_load};

/// Time between two looks of the balancer; a tenth of the entry's grace.
const BALANCER_LAG: Duration = Duration::from_millis(200);
/// Callers that send without a pause.
const CALLERS: usize = 4;
/// Requests before the stop, and again after it, while the other callers go on.
const FURTHER_REQUESTS: usize = 10;

/// Spreads requests over two entries as long as the first was ready when it last looked.
struct LaggingBalancer {
    ready_call: HttpClient,
    addresses: [SocketAddr; 2],
    turns: AtomicUsize,
    seen: Mutex<Option<(Instant, bool)>>,
}

impl LaggingBalancer {
    fn new(first: &EntryProcess, second: &EntryProcess) -> Self {
        Self {
            ready_call: HttpClient::new(first.plan.operator_address),
            addresses: [first.plan.caller_address, second.plan.caller_address],
            turns: AtomicUsize::new(0),
            seen: Mutex::default(),
        }
    }

    fn choose(&self) -> SocketAddr {
        let turn = self.turns.fetch_add(1, Ordering::SeqCst);
        let mut seen = self.seen.lock().expect("no caller panics");
        let is_ready = match *seen {
            Some((at, is_ready)) if at.elapsed() < BALANCER_LAG => is_ready,
            _ => {
                let answer = self.ready_call.get("/ready");
                let is_ready = answer.is_ok_and(|(status, _)| status == 200);
                *seen = Some((Instant::now(), is_ready));
                is_ready
            }
        };
        self.addresses[usize::from(!is_ready) | (turn % 2)]
    }
}

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
        .send_command(json!({ "set": { "service_us": 20_000 } }))?;
    let mut stopping = tier.entries.remove(0);
    let balancer = LaggingBalancer::new(&stopping, &tier.entries[0]);
    let balance = || balancer.choose();
    let send_booking = || {
        let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(balance())?;
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
            for _ in 0..FURTHER_REQUESTS {
                send_search(balance())?;
            }
            stopping.child.signal(ProcessSignal::Terminate)?;
            let exit = stopping.child.wait_exit()?;
            ensure!(exit.success(), "the entry ended with {exit}");
            for _ in 0..FURTHER_REQUESTS {
                send_search(balance())?;
            }
            Ok(())
        },
    )?;

    assert!(answered > 0);
    assert!(is_complete(&search(&tier, 0)?));
    Ok(())
}
