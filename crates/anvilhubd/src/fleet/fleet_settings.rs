use std::net::SocketAddr;
use std::time::Duration;

use anvilhub_coord::fleet::CoreShare;

/// Settings of an instance that acts together with others.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Where other instances call this one.
    pub peer_address: SocketAddr,
    /// Where other instances pass requests on to this one.
    pub relay_address: SocketAddr,
    /// Peer addresses of instances that may know others; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// Processor time that this instance may use.
    pub cores: CoreShare,
    /// How long a watch on the platform waits for changes, in which a lost connection goes unnoticed.
    pub watch_wait: Duration,
    /// Pause between changes and the next watch, so that a burst of them costs a few calls.
    pub news_pause: Duration,
    /// Age of a reader's last contact to the platform from which its news are not trusted.
    pub stale_after: Duration,
    /// Longest pause between attempts to read a platform that does not answer.
    pub most_pause: Duration,
    /// How long a call for news waits at the reader.
    pub follow_wait: Duration,
    /// How long another instance may take to answer, beyond the wait. Several round trips between failure
    /// domains, and the time for which an instance with an eighth of a core may be busy.
    pub call_patience: Duration,
    /// How long a start waits for what seeds know. A seed that runs answers within a few round trips.
    pub join_time: Duration,
    /// Interval of exchanges with instances of other failure domains.
    pub beat_interval: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            peer_address: loopback,
            relay_address: loopback,
            seeds: Vec::new(),
            cores: CoreShare(1.0),
            watch_wait: Duration::from_millis(1_000),
            news_pause: Duration::from_millis(200),
            stale_after: Duration::from_millis(2_000),
            most_pause: Duration::from_millis(1_000),
            follow_wait: Duration::from_millis(500),
            call_patience: Duration::from_millis(250),
            join_time: Duration::from_millis(150),
            beat_interval: Duration::from_millis(1_000),
        }
    }
}
