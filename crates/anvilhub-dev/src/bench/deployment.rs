use std::time::Duration;

use anvilhub_coord::sheet::RepeatPolicy;

/// One service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Desk {
    /// Name in the tables.
    pub name: &'static str,
    /// Shards that every query touches.
    pub shards: usize,
    /// Replicas per shard.
    pub replicas: usize,
    /// Sub-requests that a replica runs at once.
    pub slots: u32,
    /// Connections that a replica accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub opening: Duration,
    /// Whether its requests may be run more than once.
    pub repeat: RepeatPolicy,
}

/// A deployment at its exact size.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the tables.
    pub name: &'static str,
    /// One-way latency to its callers.
    pub caller_latency: Duration,
    /// Its services.
    pub desks: [Desk; 4],
}

impl Deployment {
    /// Both deployments of the design page.
    pub fn all() -> [Self; 2] {
        use RepeatPolicy::{Idempotent, NonIdempotent};
        [
            Self {
                name: "bordurtas",
                caller_latency: Duration::from_millis(3),
                desks: [
                    desk("tender and stock desk", (20, 2), 25, 6, Idempotent),
                    desk("contractor portal", (30, 2), 25, 6, Idempotent),
                    desk("dispatch desk", (1, 5), 110, 1, NonIdempotent),
                    desk("accounts reports", (1, 3), 110, 1, Idempotent),
                ],
            },
            Self {
                name: "hanbit",
                caller_latency: Duration::from_millis(1),
                desks: [
                    desk("technician desk", (20, 2), 25, 6, Idempotent),
                    desk("insurer desk", (30, 2), 25, 6, Idempotent),
                    desk("counter desk", (1, 15), 35, 1, Idempotent),
                    desk("shared ledger", (1, 7), 35, 1, NonIdempotent),
                ],
            },
        ]
    }
}

fn desk(
    name: &'static str,
    (shards, replicas): (usize, usize),
    connections: u32,
    opening_ms: u64,
    repeat: RepeatPolicy,
) -> Desk {
    Desk {
        name,
        shards,
        replicas,
        slots: 2,
        connections,
        opening: Duration::from_millis(opening_ms),
        repeat,
    }
}
