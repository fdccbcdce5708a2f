use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::memory::LedgerLimit;
use crossbeam::channel::{Receiver, Sender, bounded, select};
use eyre::{Result, WrapErr};
use log::info;
use metrics_exporter_prometheus::PrometheusBuilder;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::DaemonSettings;
use crate::caller::{HttpServer, QueryHandler, ServerLimits};
use crate::controllers::{
    ConfigController, HeartbeatController, MemberController, PeerExchange, SheetWatcher,
    UpstreamController,
};
use crate::daemon_clock::DaemonClock;
use crate::entry_context::EntryContext;
use crate::instance_lifecycle::{InstanceLifecycle, Ready};
use crate::logging;
use crate::memory::{MemoryLedger, ServerKind};
use crate::operator::OperatorServer;
use crate::peer::PeerServer;

/// Maximum memory that callers make the process hold: more than a body of the default maximum size on each of the
/// default number of connections.
const LEDGER_LIMIT: ByteSize = ByteSize(512_000_000);
/// Interval at which a draining instance checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry instance until its planned stop.
///
/// # Errors
///
/// Fails when the logger, a thread or a listening address cannot be set up.
pub fn run(settings: DaemonSettings) -> Result<()> {
    let _logger = logging::start(settings.log_level)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("cannot install the metrics recorder")?;
    let runtime = start_runtime(&settings)?;
    let lifecycle = InstanceLifecycle::new();
    let context = EntryContext::new(settings, DaemonClock::start(), lifecycle.stage());
    let (drain_sender, drain_requests) = bounded(1);
    let (ready_sender, ready_receiver) = bounded(1);
    let listener = bind_caller_listener(&runtime, &context)?;
    let handler = Arc::new(QueryHandler::new(Arc::clone(&context)));
    let peer_server = PeerServer::new(Arc::clone(&context), Arc::clone(&handler));
    let _peer_handle = runtime.block_on(peer_server.start())?;
    OperatorServer::new(Arc::clone(&context), metrics, drain_sender.clone()).spawn()?;
    forward_signals(drain_sender)?;
    MemberController::new(Arc::clone(&context)).spawn()?;
    SheetWatcher::new(Arc::clone(&context)).spawn()?;
    HeartbeatController::new(Arc::clone(&context)).spawn()?;
    let exchange = PeerExchange::new(Arc::clone(&context), runtime.handle().clone());
    ConfigController::new(Arc::clone(&context), exchange, ready_sender).spawn()?;
    UpstreamController::new(Arc::clone(&context), runtime.handle().clone()).spawn()?;

    info!(instance:% = context.settings.instance; "waiting for a confirmed sheet in force");
    select! {
        recv(ready_receiver) -> _ => {}
        recv(drain_requests) -> _ => {
            lifecycle.abandon();
            return Ok(());
        }
    }
    let lifecycle = lifecycle.serve();
    info!(instance:% = context.settings.instance; "ready");
    let limits = ServerLimits {
        server: ServerKind::Callers,
        sends_greeting: false,
        max_connections: context.settings.max_caller_connections as usize,
        idle_timeout: context.settings.idle_timeout,
        answers_half_closed: true,
        max_head_size: None,
    };
    let ledger = MemoryLedger::new(LedgerLimit::fixed(LEDGER_LIMIT), context.clock);
    let server = HttpServer::new(handler, limits, ledger);
    serve(
        &runtime,
        &context,
        (server, listener),
        lifecycle,
        &drain_requests,
    );
    Ok(())
}

fn start_runtime(settings: &DaemonSettings) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .thread_name("request")
        .enable_all()
        .build()
        .wrap_err("cannot start the request threads")
}

fn bind_caller_listener(runtime: &Runtime, context: &EntryContext) -> Result<TcpListener> {
    let address = context.settings.caller_address;
    runtime
        .block_on(TcpListener::bind(address))
        .wrap_err_with(|| {
            format!(
                "cannot listen on caller_address {address}; check that it is free and belongs to this instance"
            )
        })
}

/// Starts a thread that requests a drain when the process receives SIGTERM or SIGINT.
fn forward_signals(drain_sender: Sender<()>) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot handle signals")?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                // A full channel means that a drain was requested already.
                let _ = drain_sender.try_send(());
            }
        })
        .wrap_err("cannot start the signal thread")?;
    Ok(())
}

/// Serves callers until a drain is requested, and then until all work has finished.
fn serve(
    runtime: &Runtime,
    context: &Arc<EntryContext>,
    (server, listener): (HttpServer<QueryHandler>, TcpListener),
    lifecycle: InstanceLifecycle<Ready>,
    drain_requests: &Receiver<()>,
) {
    let (stop_sender, stop_receiver) = watch::channel(false);
    let server_task = runtime.spawn(async move { server.serve(listener, stop_receiver).await });
    let _ = drain_requests.recv();
    let lifecycle = lifecycle.drain();
    info!(instance:% = context.settings.instance; "draining");
    wait_for_requests(context);
    let _ = stop_sender.send(true);
    let _ = runtime.block_on(server_task);
    lifecycle.stop();
    info!(instance:% = context.settings.instance; "stopped");
}

/// Waits for the grace period in which the balancer may still send requests, and then until no request is in flight and
/// no ticket is open.
fn wait_for_requests(context: &EntryContext) {
    context.tickets.drain();
    std::thread::sleep(context.settings.drain_grace);
    while context.requests_in_flight() > 0 || open_ticket_count(context) > 0 {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Returns the number of tickets whose request may still arrive or be resent. Tickets expire, so the wait for them is
/// bounded.
fn open_ticket_count(context: &EntryContext) -> usize {
    context
        .tickets
        .drain_report(context.clock.now())
        .total_count()
}
