//! Guards against a planned stop that interrupts or refuses a request that the load balancer still sent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anvilhub_coord::border::query::QueryOutcome;
use anvilhub_dev::process::{EntryProcess, HttpClient, ProcessSignal, QueryCall};
use eyre::{Result, ensure};
use serde_json::json;

use super::answer_check::{check_effects, is_complete, run_under_load, search, start_tier};

/// Interval between two readiness checks of the load balancer; a tenth of the instance's drain grace period.
const BALANCER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of threads that send requests without a pause.
const CALLER_COUNT: usize = 4;
/// Number of further requests before the stop, and again after it.
const REQUESTS_PER_PHASE: usize = 10;

/// Balances requests over two entry instances. The first gets none if it was not ready at the last check.
struct LaggingBalancer {
    ready_client: HttpClient,
    addresses: [SocketAddr; 2],
    request_count: AtomicUsize,
    last_check: Mutex<Option<(Instant, bool)>>,
}

impl LaggingBalancer {
    fn new(first: &EntryProcess, second: &EntryProcess) -> Self {
        Self {
            ready_client: HttpClient::new(first.plan.operator_address),
            addresses: [first.plan.caller_address, second.plan.caller_address],
            request_count: AtomicUsize::new(0),
            last_check: Mutex::default(),
        }
    }

    fn choose_address(&self) -> SocketAddr {
        let request_number = self.request_count.fetch_add(1, Ordering::SeqCst);
        let mut last_check = self.last_check.lock().expect("no caller panics");
        let is_ready = match *last_check {
            Some((at, is_ready)) if at.elapsed() < BALANCER_CHECK_INTERVAL => is_ready,
            _ => {
                let answer = self.ready_client.get("/ready");
                let is_ready = answer.is_ok_and(|(status, _)| status == 200);
                *last_check = Some((Instant::now(), is_ready));
                is_ready
            }
        };
        self.addresses[usize::from(!is_ready) | (request_number % 2)]
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

/// An instance is stopped while a load balancer, which notices the stop late, still sends it searches and bookings.
/// All of them must be answered.
#[test]
fn planned_stop() -> Result<()> {
    let mut tier = start_tier(json!({
        "drain_grace_ms": 2_000, "ticket_lifetime_ms": 2_000
    }))?;
    tier.upstreams
        .send_command(json!({ "set": { "service_us": 20_000 } }))?;
    let mut stopping = tier.entries.remove(0);
    let balancer = LaggingBalancer::new(&stopping, &tier.entries[0]);
    let next_address = || balancer.choose_address();
    let send_booking = || {
        let call = QueryCall::booking("dispatch", "dispatcher")?.with_ticket_from(next_address())?;
        let (status, answer) = call.send(next_address())?;
        ensure!(
            answer.outcome == QueryOutcome::Done,
            "status {status}: {answer:?}"
        );
        check_effects(&tier, &call, answer.outcome).map(drop)
    };

    let answered_count = run_under_load(
        CALLER_COUNT,
        || send_search(next_address()).and_then(|()| send_booking()),
        || {
            for _ in 0..REQUESTS_PER_PHASE {
                send_search(next_address())?;
            }
            stopping.child.signal(ProcessSignal::Terminate)?;
            let exit = stopping.child.wait_exit()?;
            ensure!(exit.success(), "the entry instance ended with {exit}");
            for _ in 0..REQUESTS_PER_PHASE {
                send_search(next_address())?;
            }
            Ok(())
        },
    )?;

    assert!(answered_count > 0);
    assert!(is_complete(&search(&tier, 0)?));
    Ok(())
}
