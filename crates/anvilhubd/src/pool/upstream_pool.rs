use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::connection::ReadWindow;
use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::sheet::RepeatPolicy;
use tokio::time::{sleep, timeout};

use crate::DaemonSettings;
use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::{ConnectionLease, ConnectionSet, ConnectionTarget, PoolError, Result};

/// Number of independently locked parts of the pool.
const PARTITION_COUNT: usize = 16;
/// Target for an upstream that has not been configured yet.
const DEFAULT_TARGET: ConnectionTarget = ConnectionTarget {
    max_connections: 1,
    warm_connections: 0,
};

type ConnectionSets = HashMap<SocketAddr, Arc<ConnectionSet>>;

/// The connections to all upstreams, in partitions that have a lock each.
pub(crate) struct UpstreamPool {
    partitions: Vec<LockCell<ConnectionSets>>,
    clock: DaemonClock,
    connect_timeout: Duration,
    max_answer_size: ByteSize,
}

impl UpstreamPool {
    pub(crate) fn new(settings: &DaemonSettings, clock: DaemonClock) -> Self {
        Self {
            partitions: (0..PARTITION_COUNT).map(|_| LockCell::default()).collect(),
            clock,
            connect_timeout: settings.connect_timeout,
            max_answer_size: settings.max_answer_size,
        }
    }

    /// Returns the maximum size of an accepted answer.
    pub(crate) fn max_answer_size(&self) -> ByteSize {
        self.max_answer_size
    }

    /// Waits for a connection for at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Fails when no connection was opened or became free in time. Nothing was sent then.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        repeat_policy: RepeatPolicy,
        max_wait: Duration,
    ) -> Result<ConnectionLease> {
        let connections = self.get_or_create(address, DEFAULT_TARGET);
        let lease = timeout(max_wait, connections.acquire(repeat_policy)).await;
        let lease = lease.unwrap_or_else(|_| {
            Err(PoolError::Unsent {
                address,
                reason: format!(
                    "every connection of this instance's share was in use for {} ms",
                    max_wait.as_millis()
                ),
            })
        })?;
        if repeat_policy == RepeatPolicy::NonIdempotent {
            lease.exempt_from_silence_check();
        }
        Ok(lease)
    }

    /// Returns whether every connection of this instance's share to an upstream carries a request.
    pub(crate) fn is_full(&self, address: SocketAddr) -> bool {
        self.partition(address).with(|sets| {
            sets.get(&address)
                .is_some_and(|connections| connections.is_full())
        })
    }

    /// Applies the targets that follow from the sheet and the number of instances. Connections to upstreams without
    /// a target are closed.
    pub(crate) fn configure(&self, targets: &HashMap<SocketAddr, ConnectionTarget>) {
        for (&address, &target) in targets {
            self.get_or_create(address, target).configure(target);
        }
        for partition in &self.partitions {
            partition.with(|sets| {
                sets.retain(|address, connections| {
                    let has_target = targets.contains_key(address);
                    if !has_target {
                        connections.retire();
                    }
                    has_target || !connections.is_empty()
                });
            });
        }
    }

    /// Closes silent connections, unless this process was kept from reading what they received. `silence_limit` returns how
    /// long a connection to an upstream may carry a request without receiving a byte of the answer.
    pub(crate) async fn close_silent(&self, silence_limit: impl Fn(SocketAddr) -> Duration) {
        let window = ReadWindow::default();
        let begun_at = self.clock.now();
        sleep(window.duration).await;
        // The process may be paused after this time too, so the connections are judged by what was read until then.
        let now = self.clock.now();
        if !window.permits_check(now.since(begun_at)) {
            return;
        }
        for connections in self.connection_sets() {
            connections.close_silent(now, silence_limit(connections.address()));
        }
    }

    /// Closes, probes and opens connections to every upstream as needed.
    pub(crate) fn maintain(&self) {
        for connections in self.connection_sets() {
            connections.maintain();
        }
    }

    /// Marks idle connections as suspect, for example after a pause of this process.
    pub(crate) fn mark_idle_suspect(&self) {
        for connections in self.connection_sets() {
            connections.mark_idle_suspect();
        }
    }

    fn connection_sets(&self) -> Vec<Arc<ConnectionSet>> {
        self.partitions
            .iter()
            .flat_map(|partition| partition.with(|sets| sets.values().cloned().collect::<Vec<_>>()))
            .collect()
    }

    fn get_or_create(&self, address: SocketAddr, target: ConnectionTarget) -> Arc<ConnectionSet> {
        self.partition(address).with(|sets| {
            let connections = sets.entry(address).or_insert_with(|| {
                ConnectionSet::new(address, target, self.clock, self.connect_timeout)
            });
            Arc::clone(connections)
        })
    }

    fn partition(&self, address: SocketAddr) -> &LockCell<ConnectionSets> {
        let mut hasher = DefaultHasher::new();
        address.hash(&mut hasher);
        &self.partitions[hasher.finish() as usize % self.partitions.len()]
    }
}
