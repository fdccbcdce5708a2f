use std::net::SocketAddr;
use std::time::Duration;

use anvilhub_coord::fleet::CpuCores;

/// Settings for the cooperation of an instance with others.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Address at which other instances call this one.
    pub peer_address: SocketAddr,
    /// Address to which other instances relay requests.
    pub relay_address: SocketAddr,
    /// Peer addresses of instances from which this one learns of other members. Seeds may be down.
    pub seeds: Vec<SocketAddr>,
    /// Processor time that this instance may use.
    pub cores: CpuCores,
    /// How long a watch on the platform waits for changes. A lost connection is not noticed before this time has
    /// passed.
    pub watch_wait: Duration,
    /// Pause between a small batch of changes and the next watch, so that a burst of changes costs only a few calls.
    pub update_pause: Duration,
    /// Time since the platform last answered a reader, from which the followers of the reader consider the platform
    /// unreachable.
    pub stale_after: Duration,
    /// Maximum pause between attempts to read a platform that does not answer.
    pub max_read_backoff: Duration,
    /// How long a follower's call waits at the reader for an update.
    pub follow_wait: Duration,
    /// How long another instance may take to answer, in addition to a wait that the call asks for. Covers several
    /// round trips between failure domains, and the time for which an instance with an eighth of a core may be busy.
    pub call_timeout: Duration,
    /// How long a starting instance waits for the answers of its seeds. A running seed answers within a few network
    /// round trips.
    pub join_timeout: Duration,
    /// Average time between two exchanges of a reader with instances of other failure domains or seeds.
    pub gossip_interval: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            peer_address: loopback,
            relay_address: loopback,
            seeds: Vec::new(),
            cores: CpuCores(1.0),
            watch_wait: Duration::from_millis(1_000),
            update_pause: Duration::from_millis(200),
            stale_after: Duration::from_millis(2_000),
            max_read_backoff: Duration::from_millis(1_000),
            follow_wait: Duration::from_millis(500),
            call_timeout: Duration::from_millis(250),
            join_timeout: Duration::from_millis(150),
            gossip_interval: Duration::from_millis(1_000),
        }
    }
}
