use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvilhub_coord::ids::ByteSize;
use crossbeam::channel::{Receiver, Sender, bounded};
use log::info;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use oxhttp::Server;
use oxhttp::model::{Body, Response};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::caller::{HttpServer, ServerLimits};
use crate::fleet::{FeedThread, FleetServer, GossipLoop, PlatformFeed};
use crate::instance_lifecycle::InstanceLifecycle;
use crate::logging;
use crate::memory::ServerKind;

use super::{
    ConnectionWarmer, Gateway, GatewayError, GatewayHandler, GatewaySettings, HeaderCodec,
    ReachMonitor, ReadyHandler, RelayHandler, Result, SettingsMonitor, SettingsSource,
};

/// How often removed upstreams are dropped and missing connections are opened.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// How often the attempts sent to upstreams with a limit and the ends of warm-ups are logged.
const LIMIT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum idle time of a caller's connection. Longer than callers keep idle connections, so that callers close them
/// first.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request's head, large enough for the largest head that callers may send.
const MAX_HEAD_SIZE: ByteSize = ByteSize(32 * 1024);
/// Maximum number of connections for readiness checks, and also for metrics.
const MAX_OPERATOR_CONNECTIONS: usize = 16;

/// Runs a gateway until it is stopped by SIGTERM or SIGINT. `settings` were read from `source`, `codec` translates the
/// platform's headers, and `feed` reads routes and upstreams from the platform.
///
/// # Errors
///
/// Fails if the logger, a thread or a listener cannot be started.
pub fn run_gateway(
    settings: GatewaySettings,
    source: impl SettingsSource,
    codec: Arc<dyn HeaderCodec>,
    feed: impl PlatformFeed,
) -> Result<()> {
    let _logger = logging::start_bounded(settings.log_level)
        .map_err(|error| start_error("logger", &error))?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| start_error("metrics recorder", &error))?;
    let runtime = start_runtime(settings.worker_threads)?;
    let lifecycle = InstanceLifecycle::new();
    info!(
        instance:% = settings.instance, failure_domain:% = settings.failure_domain,
        callers:% = settings.caller_address, program = env!("CARGO_PKG_VERSION");
        "started"
    );
    let gateway = Gateway::new(settings, codec, lifecycle.stage());
    let (hangup_sender, hangups) = bounded(1);
    let signals = watch_signals(hangup_sender)?;
    watch_settings(SettingsMonitor::new(source, hangups))?;
    let (stop_sender, stop) = watch::channel(false);
    let caller_listener = listen(&runtime, gateway.settings.caller_address, "callers")?;
    let ready_listener = listen(&runtime, gateway.settings.ready_address, "readiness")?;
    serve_metrics(gateway.settings.metrics_address, metrics)?;
    let relay_listener = listen(
        &runtime,
        gateway.settings.fleet.relay_address,
        "relayed requests",
    )?;
    let peer_server = FleetServer::new(Arc::clone(&gateway.fleet));
    let _peer_handle =
        runtime
            .block_on(peer_server.start())
            .map_err(|error| GatewayError::Listen {
                address: gateway.settings.fleet.peer_address,
                purpose: "other instances",
                reason: error.to_string(),
            })?;
    FeedThread::spawn(feed, Arc::clone(&gateway), runtime.handle().clone())
        .map_err(|error| start_error("feed thread", &error))?;
    let lifecycle = lifecycle.serve();

    let ready_server = HttpServer::new(
        Arc::new(ReadyHandler {
            gateway: Arc::clone(&gateway),
        }),
        server_limits(ServerKind::Ready, MAX_OPERATOR_CONNECTIONS),
        Arc::clone(&gateway.ledger),
    );
    let (_ready_sender, ready_stop) = watch::channel(false);
    runtime.spawn(async move { ready_server.serve(ready_listener, ready_stop).await });
    runtime.spawn(maintain_upstreams(Arc::clone(&gateway)));
    runtime.spawn(ReachMonitor::run(Arc::clone(&gateway)));
    let gossip_loop = GossipLoop::new(Arc::clone(&gateway.fleet));
    runtime.spawn(async move { gossip_loop.run().await });
    let relay_server = HttpServer::new(
        Arc::new(RelayHandler::new(Arc::clone(&gateway))),
        ServerLimits {
            sends_greeting: true,
            ..server_limits(ServerKind::Relay, gateway.memory_plan.max_relay_connections)
        },
        Arc::clone(&gateway.ledger),
    );
    let relay_stop = stop.clone();
    let relay_task =
        runtime.spawn(async move { relay_server.serve(relay_listener, relay_stop).await });
    let caller_server = HttpServer::new(
        Arc::new(GatewayHandler::new(Arc::clone(&gateway))),
        server_limits(
            ServerKind::Callers,
            gateway.memory_plan.max_caller_connections,
        ),
        Arc::clone(&gateway.ledger),
    );
    let drain_grace = gateway.settings.drain_grace;
    let stopping_gateway = Arc::clone(&gateway);
    let stop_thread = std::thread::Builder::new()
        .name("stop".to_owned())
        .spawn(move || {
            // An error means that the channel is closed and no signal can arrive any more. The instance stops then too.
            let _ = signals.recv();
            info!("draining");
            let lifecycle = lifecycle.drain();
            stopping_gateway.begin_stop();
            std::thread::sleep(drain_grace);
            let _ = stop_sender.send(true);
            lifecycle
        })
        .map_err(|error| start_error("stop thread", &error))?;
    runtime.block_on(async {
        caller_server.serve(caller_listener, stop).await;
        // An error means that the task panicked; there is nothing left to wait for.
        let _ = relay_task.await;
    });
    if let Ok(lifecycle) = stop_thread.join() {
        lifecycle.stop();
    }
    info!("stopped");
    Ok(())
}

/// Drops removed upstreams and keeps connections to the others open.
async fn maintain_upstreams(gateway: Arc<Gateway>) {
    let warmer = ConnectionWarmer::new(Arc::clone(&gateway));
    let mut was_ready = false;
    let mut limits_reported_at = Instant::now();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        gateway.drop_removed_upstreams();
        gateway.expire_spillovers();
        let is_ready = gateway.is_ready();
        if is_ready != was_ready {
            was_ready = is_ready;
            info!(ready = is_ready, draining = gateway.is_draining(); "readiness changed");
        }
        if limits_reported_at.elapsed() >= LIMIT_REPORT_INTERVAL {
            limits_reported_at = Instant::now();
            gateway.fleet.limits.report_sends();
            gateway.fleet.warmups.report();
            gateway.fleet.crashes.forget_old();
            gateway.ledger.report();
        }
        if !gateway.is_draining() && !gateway.reach.is_cut_off() {
            warmer.open_missing();
        }
    }
}

fn server_limits(server: ServerKind, max_connections: usize) -> ServerLimits {
    ServerLimits {
        server,
        max_connections,
        idle_timeout: CALLER_IDLE_TIMEOUT,
        answers_half_closed: false,
        max_head_size: Some(MAX_HEAD_SIZE),
        sends_greeting: false,
    }
}

fn start_runtime(worker_threads: usize) -> Result<Runtime> {
    let mut builder = match worker_threads {
        0 | 1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder
        .worker_threads(worker_threads.max(1))
        .thread_name("request")
        .enable_all()
        .build()
        .map_err(|error| start_error("request threads", &error))
}

fn listen(runtime: &Runtime, address: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    runtime
        .block_on(TcpListener::bind(address))
        .map_err(|error| GatewayError::Listen {
            address,
            purpose,
            reason: error.to_string(),
        })
}

fn serve_metrics(address: SocketAddr, metrics: PrometheusHandle) -> Result<()> {
    Server::new(move |_| {
        Response::builder()
            .body(Body::from(metrics.render()))
            .expect("a response without headers is valid")
    })
    .bind(address)
    .with_max_concurrent_connections(MAX_OPERATOR_CONNECTIONS)
    .spawn()
    .map_err(|error| GatewayError::Listen {
        address,
        purpose: "metrics",
        reason: error.to_string(),
    })?;
    Ok(())
}

/// Returns a channel that receives a message when SIGTERM or SIGINT arrives. For SIGHUP, `hangup_sender` is used.
fn watch_signals(hangup_sender: Sender<()>) -> Result<Receiver<()>> {
    let (sender, receiver) = bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| start_error("signal handler", &error))?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                let sender = match signal {
                    SIGHUP => {
                        info!("reload: settings are read at the next start");
                        &hangup_sender
                    }
                    _ => &sender,
                };
                // A full channel means that the last such signal is still being handled.
                let _ = sender.try_send(());
            }
        })
        .map_err(|error| start_error("signal thread", &error))?;
    Ok(receiver)
}

fn watch_settings(monitor: SettingsMonitor<impl SettingsSource>) -> Result<()> {
    std::thread::Builder::new()
        .name("settings".to_owned())
        .spawn(move || monitor.run())
        .map_err(|error| start_error("settings thread", &error))?;
    Ok(())
}

fn start_error(component: &'static str, error: &dyn std::fmt::Display) -> GatewayError {
    GatewayError::Start {
        component,
        reason: error.to_string(),
    }
}
