use std::net::SocketAddr;
use std::time::Duration;

use anvilhub_coord::ids::{ByteSize, FailureDomain, InstanceId};
use log::LevelFilter;

use crate::fleet::FleetSettings;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether this instance takes new connections.
    pub ready_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Least level of log lines.
    pub log_level: LevelFilter,
    /// Threads that serve requests; 1 for an instance with one core.
    pub worker_threads: usize,
    /// Most connections of callers at once.
    pub max_caller_connections: usize,
    /// Largest answer of an upstream.
    pub max_answer_size: ByteSize,
    /// Longest time to open a connection to an upstream. Several round trips between failure domains and the
    /// upstream's own set-up time.
    pub connect_timeout: Duration,
    /// How long a stopping instance accepts connections: the balancer asks once a second and takes an instance
    /// out after two misses.
    pub drain_time: Duration,
    /// Part of a caller's aim and deadline that is left for the way back to it.
    pub answer_margin: Duration,
    /// Hedges and retries per request of a service, over all instances.
    pub extra_load: f64,
    /// Window within which hedges and retries are bounded.
    pub extra_window: Duration,
    /// Hedges and retries within a window that each instance may send beyond its share. All instances together
    /// must stay below what the upstreams' operators allow.
    pub extra_slack: u32,
    /// Latency quantile after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Number of instances among which the connections of an upstream are divided.
    pub connection_sharers: u32,
    /// How long a leaving upstream may serve a shard that has no other, once this instance knows that it leaves.
    pub leaving_grace: Duration,
    /// How long an attempt that lost against another may go on, so that its connection is kept.
    pub loser_time: Duration,
    /// How this instance acts together with others.
    pub fleet: FleetSettings,
}

impl GatewaySettings {
    /// Default settings of `instance`, which listens on loopback ports.
    pub fn new(instance: InstanceId, failure_domain: FailureDomain) -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            instance,
            failure_domain,
            caller_address: loopback(0),
            ready_address: loopback(0),
            metrics_address: loopback(0),
            log_level: LevelFilter::Info,
            worker_threads: 1,
            max_caller_connections: 3_000,
            max_answer_size: ByteSize(8 * 1024 * 1024),
            connect_timeout: Duration::from_millis(250),
            drain_time: Duration::from_millis(2_600),
            answer_margin: Duration::from_millis(10),
            extra_load: 0.2,
            extra_window: Duration::from_secs(10),
            extra_slack: 2,
            hedge_quantile: 0.9,
            connection_sharers: 10,
            leaving_grace: Duration::from_millis(500),
            loser_time: Duration::from_millis(250),
            fleet: FleetSettings::default(),
        }
    }
}
