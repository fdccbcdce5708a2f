use std::net::SocketAddr;
use std::time::Duration;

use anvilhub_coord::gateway::RegionMap;
use anvilhub_coord::ids::{ByteSize, FailureDomain, InstanceId, TransferPrice};
use anvilhub_coord::limit::WarmupBound;
use log::LevelFilter;

use crate::fleet::FleetSettings;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Identifier of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer checks whether this instance accepts new connections.
    pub ready_address: SocketAddr,
    /// Address that serves metrics.
    pub metrics_address: SocketAddr,
    /// Minimum severity of the log lines that are written.
    pub log_level: LevelFilter,
    /// Number of threads that serve requests; 1 for an instance with one core.
    pub worker_threads: usize,
    /// Memory that the process may use.
    pub memory: ByteSize,
    /// Maximum number of connections of callers and of instances that relay requests, together. A small `memory`
    /// allows fewer.
    pub max_connections: usize,
    /// Maximum size of an upstream's answer.
    pub max_answer_size: ByteSize,
    /// Maximum time for opening a connection to an upstream: several round trips between failure domains and the
    /// upstream's own set-up time.
    pub connect_timeout: Duration,
    /// How long a stopping instance still accepts connections: the load balancer checks once a second and removes an
    /// instance after two failed checks.
    pub drain_grace: Duration,
    /// Time after the signal for a planned stop at which the platform kills the process.
    pub stop_grace: Duration,
    /// Time before the caller's deadline that is reserved for the answer's network latency; also the maximum time
    /// reserved before its latency target.
    pub answer_margin: Duration,
    /// Maximum ratio of hedges and retries to requests, for each service over all instances.
    pub extra_load: f64,
    /// Length of the window within which the ratio `extra_load` is kept.
    pub extra_window: Duration,
    /// Number of hedges and retries that each instance may send per window in addition to `extra_load`. All instances
    /// together must stay below what the operators of the upstreams allow.
    pub extra_slack: u32,
    /// Quantile of the latencies of recent answers after which a hedge is sent, from 0 to 1.
    pub hedge_quantile: f64,
    /// Number of instances among which the connection limit of an upstream is divided.
    pub connection_sharer_count: u32,
    /// How long a leaving upstream that is the only one of its shard still gets requests, once this instance knows that
    /// it is leaving.
    pub leaving_grace_period: Duration,
    /// How long an attempt may continue after its request has ended, so that its connection can be reused.
    pub abandoned_grace_period: Duration,
    /// How many requests a cold upstream may get from all instances together; `None` if cold upstreams get requests like
    /// others.
    pub warmup_bound: Option<WarmupBound>,
    /// Price of the bytes of attempts that leave the failure domain; `None` leaves the cost of such attempts at a constant
    /// multiple of the route's typical latency.
    pub remote_price: Option<TransferPrice>,
    /// By how much a round trip to another failure domain exceeds one within; `None` to measure it.
    pub remote_round_trip: Option<Duration>,
    /// The regions of the failure domains.
    pub regions: RegionMap,
    /// Settings for the cooperation with other instances.
    pub fleet: FleetSettings,
}

impl GatewaySettings {
    /// Returns the default settings of `instance`, with loopback addresses whose ports the operating system chooses.
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
            memory: ByteSize(512_000_000),
            max_connections: 3_000,
            max_answer_size: ByteSize(8 * 1024 * 1024),
            connect_timeout: Duration::from_millis(250),
            drain_grace: Duration::from_millis(2_600),
            stop_grace: Duration::from_secs(6),
            answer_margin: Duration::from_millis(10),
            extra_load: 0.2,
            extra_window: Duration::from_secs(10),
            extra_slack: 2,
            hedge_quantile: 0.9,
            connection_sharer_count: 10,
            leaving_grace_period: Duration::from_millis(500),
            abandoned_grace_period: Duration::from_millis(250),
            warmup_bound: None,
            remote_price: None,
            remote_round_trip: None,
            regions: RegionMap::default(),
            fleet: FleetSettings::default(),
        }
    }
}
