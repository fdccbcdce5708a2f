use std::time::Duration;

use anvilhub_coord::sheet::RepeatPolicy;

use super::ServiceLoad;

/// A deployment with its actual numbers of shards, replicas and connections.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the output tables.
    pub name: &'static str,
    /// One-way network latency to its callers.
    pub caller_latency: Duration,
    /// The services that it runs.
    pub services: [ServiceLoad; 4],
}

impl Deployment {
    /// Returns both deployments of the design page.
    pub fn all() -> [Self; 2] {
        use RepeatPolicy::{Idempotent, NonIdempotent};
        // The numbers are: (shards, replicas of each), connections of a replica, milliseconds to open a connection.
        [
            Self {
                name: "bordurtas",
                caller_latency: Duration::from_millis(3),
                services: [
                    ServiceLoad::new("tender and stock desk", (20, 2), 25, 6, Idempotent),
                    ServiceLoad::new("contractor portal", (30, 2), 25, 6, Idempotent),
                    ServiceLoad::new("dispatch desk", (1, 5), 110, 1, NonIdempotent),
                    ServiceLoad::new("accounts reports", (1, 3), 110, 1, Idempotent),
                ],
            },
            Self {
                name: "hanbit",
                caller_latency: Duration::from_millis(1),
                services: [
                    ServiceLoad::new("technician desk", (20, 2), 25, 6, Idempotent),
                    ServiceLoad::new("insurer desk", (30, 2), 25, 6, Idempotent),
                    ServiceLoad::new("counter desk", (1, 15), 35, 1, Idempotent),
                    ServiceLoad::new("shared ledger", (1, 7), 35, 1, NonIdempotent),
                ],
            },
        ]
    }
}
