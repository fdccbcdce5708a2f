use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::ByteSize;
use crossbeam::channel::{Receiver, bounded};
use log::info;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use oxhttp::Server;
use oxhttp::model::{Body, Response};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::caller::{CallerServer, ServerLimits};
use crate::fleet::{FeedThread, FleetServer, GossipLoop, PlatformFeed};
use crate::lifecycle::InstanceLifecycle;
use crate::logging;

use super::{
    ConnectionWarmer, Gateway, GatewayError, GatewayHandler, GatewaySettings, HeaderCodec,
    ReadyHandler, RelayHandler, Result,
};

/// How often upstreams whose entry is missing are reviewed, and missing connections opened.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Longest rest of a caller's connection; above what callers keep connections for.
const CALLER_IDLE: Duration = Duration::from_secs(20);
/// Largest head of a request. Heads at the largest size that callers may send still fit.
const MOST_HEAD: ByteSize = ByteSize(32 * 1024);
/// Most connections that ask for readiness or metrics.
const MOST_OPERATOR_CONNECTIONS: usize = 16;

/// Runs a gateway until a planned stop. `feed` reads routes and upstreams.
///
/// # Errors
///
/// Fails when the logger, a thread or a listening address cannot be set up.
pub fn run_gateway(
    settings: GatewaySettings,
    wire: Arc<dyn HeaderCodec>,
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
    let gateway = Gateway::new(settings, wire, lifecycle.stage());
    let signals = watch_signals()?;
    let (stop_sender, stop) = watch::channel(false);
    let callers = listen(&runtime, gateway.settings.caller_address, "callers")?;
    let ready = listen(&runtime, gateway.settings.ready_address, "readiness")?;
    serve_metrics(gateway.settings.metrics_address, metrics)?;
    let relayed = listen(
        &runtime,
        gateway.settings.fleet.relay_address,
        "passed-on requests",
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
        .map_err(|error| start_error("news thread", &error))?;
    let lifecycle = lifecycle.serve();

    let ready_server = CallerServer::new(
        Arc::new(ReadyHandler {
            gateway: Arc::clone(&gateway),
        }),
        limits(MOST_OPERATOR_CONNECTIONS),
    );
    let (_ready_sender, ready_stop) = watch::channel(false);
    runtime.spawn(async move { ready_server.serve(ready, ready_stop).await });
    runtime.spawn(review(Arc::clone(&gateway)));
    let gossip_loop = GossipLoop::new(Arc::clone(&gateway.fleet));
    runtime.spawn(async move { gossip_loop.run().await });
    let relay_server = CallerServer::new(
        Arc::new(RelayHandler::new(Arc::clone(&gateway))),
        ServerLimits {
            greets: true,
            ..limits(gateway.settings.max_caller_connections)
        },
    );
    let relay_stop = stop.clone();
    let relay_task = runtime.spawn(async move { relay_server.serve(relayed, relay_stop).await });
    let server = CallerServer::new(
        Arc::new(GatewayHandler::new(Arc::clone(&gateway))),
        limits(gateway.settings.max_caller_connections),
    );
    let drain_time = gateway.settings.drain_time;
    let fleet = Arc::clone(&gateway.fleet);
    let stopping = std::thread::Builder::new()
        .name("stop".to_owned())
        .spawn(move || {
            // A closed channel means that no signal can arrive any more.
            let _ = signals.recv();
            info!("draining");
            let lifecycle = lifecycle.drain();
            fleet.announce_leaving();
            std::thread::sleep(drain_time);
            let _ = stop_sender.send(true);
            lifecycle
        })
        .map_err(|error| start_error("stop thread", &error))?;
    runtime.block_on(async {
        server.serve(callers, stop).await;
        // A task that panicked has ended too.
        let _ = relay_task.await;
    });
    if let Ok(lifecycle) = stopping.join() {
        lifecycle.stop();
    }
    info!("stopped");
    Ok(())
}

/// Drops upstreams whose absence has become certain, and keeps connections to the others open.
async fn review(gateway: Arc<Gateway>) {
    let warmer = ConnectionWarmer::new(Arc::clone(&gateway));
    let mut was_ready = false;
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        gateway.review_upstreams();
        let is_ready = gateway.is_ready();
        if is_ready != was_ready {
            was_ready = is_ready;
            info!(ready = is_ready, draining = gateway.is_draining(); "readiness changed");
        }
        if !gateway.is_draining() {
            warmer.warm();
        }
    }
}

fn limits(most_connections: usize) -> ServerLimits {
    ServerLimits {
        most_connections,
        idle_timeout: CALLER_IDLE,
        answers_half_closed: false,
        most_head: Some(MOST_HEAD),
        greets: false,
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
    .with_max_concurrent_connections(MOST_OPERATOR_CONNECTIONS)
    .spawn()
    .map_err(|error| GatewayError::Listen {
        address,
        purpose: "metrics",
        reason: error.to_string(),
    })?;
    Ok(())
}

/// A channel that receives one message for each signal to stop. A hangup is logged: the settings that it announces
/// concern the next start.
fn watch_signals() -> Result<Receiver<()>> {
    let (sender, receiver) = bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| start_error("signal handler", &error))?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    info!("reload: settings are read at the next start");
                    continue;
                }
                // A full channel means that a stop is under way.
                let _ = sender.try_send(());
            }
        })
        .map_err(|error| start_error("signal thread", &error))?;
    Ok(receiver)
}

fn start_error(part: &'static str, error: &dyn std::fmt::Display) -> GatewayError {
    GatewayError::Start {
        part,
        reason: error.to_string(),
    }
}
