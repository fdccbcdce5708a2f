use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::sheet::RepeatPolicy;
use tokio::time::timeout;

use crate::DaemonSettings;
use crate::clock::DaemonClock;
use crate::routes::LockCell;

use super::{ConnectionLease, ConnectionSet, ConnectionTarget, PoolError, Result};

/// Number of independently locked parts of the pool.
const POOL_SHARDS: usize = 16;
/// Connections to an upstream that the pool has no plan for yet.
const DEFAULT_TARGET: ConnectionTarget = ConnectionTarget { share: 1, warm: 0 };

type ConnectionSets = HashMap<SocketAddr, Arc<ConnectionSet>>;

/// The links to all upstreams, in shards with a lock each.
pub(crate) struct UpstreamPool {
    shards: Vec<LockCell<ConnectionSets>>,
    clock: DaemonClock,
    connect_timeout: Duration,
    max_answer: ByteSize,
}

impl UpstreamPool {
    pub(crate) fn new(settings: &DaemonSettings, clock: DaemonClock) -> Self {
        Self {
            shards: (0..POOL_SHARDS).map(|_| LockCell::default()).collect(),
            clock,
            connect_timeout: settings.connect_timeout,
            max_answer: settings.max_answer,
        }
    }

    /// Largest accepted answer.
    pub(crate) fn max_answer(&self) -> ByteSize {
        self.max_answer
    }

    /// Waits for a connection for at most `patience`.
    ///
    /// # Errors
    ///
    /// Fails when none opened or became free in time: nothing was sent.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        repeat: RepeatPolicy,
        patience: Duration,
    ) -> Result<ConnectionLease> {
        let link = self.link(address);
        let lease = timeout(patience, link.acquire(repeat)).await;
        let lease = lease.unwrap_or_else(|_| {
            Err(PoolError::Unsent {
                address,
                reason: "every connection of the share was in use".to_owned(),
            })
        })?;
        if repeat == RepeatPolicy::NonIdempotent {
            lease.keep_waiting();
        }
        Ok(lease)
    }

    /// Says whether every connection of the share to an upstream carries a request.
    pub(crate) fn is_full(&self, address: SocketAddr) -> bool {
        self.shard(address)
            .with(|links| links.get(&address).is_some_and(|link| link.is_full()))
    }

    /// Follows the sheet and the number of instances. Connections to upstreams without a plan are closed.
    pub(crate) fn configure(&self, plans: &HashMap<SocketAddr, ConnectionTarget>) {
        for (&address, &plan) in plans {
            self.planned_link(address, plan).configure(plan);
        }
        for shard in &self.shards {
            shard.with(|links| {
                links.retain(|address, link| {
                    let planned = plans.contains_key(address);
                    if !planned {
                        link.retire();
                    }
                    planned || !link.is_empty()
                });
            });
        }
    }

    /// Looks after the connections of every link; `limit` gives the silence limit of an upstream.
    pub(crate) fn maintain(&self, limit: impl Fn(SocketAddr) -> Duration) {
        for link in self.links() {
            link.maintain(limit(link.address()));
        }
    }

    /// Makes idle connections suspect, such as after a pause of this process.
    pub(crate) fn doubt_all(&self) {
        for link in self.links() {
            link.doubt();
        }
    }

    fn links(&self) -> Vec<Arc<ConnectionSet>> {
        self.shards
            .iter()
            .flat_map(|shard| shard.with(|links| links.values().cloned().collect::<Vec<_>>()))
            .collect()
    }

    fn link(&self, address: SocketAddr) -> Arc<ConnectionSet> {
        self.planned_link(address, DEFAULT_TARGET)
    }

    fn planned_link(&self, address: SocketAddr, plan: ConnectionTarget) -> Arc<ConnectionSet> {
        self.shard(address).with(|links| {
            let link = links.entry(address).or_insert_with(|| {
                ConnectionSet::new(address, plan, self.clock, self.connect_timeout)
            });
            Arc::clone(link)
        })
    }

    fn shard(&self, address: SocketAddr) -> &LockCell<ConnectionSets> {
        let mut hasher = DefaultHasher::new();
        address.hash(&mut hasher);
        &self.shards[hasher.finish() as usize % self.shards.len()]
    }
}
