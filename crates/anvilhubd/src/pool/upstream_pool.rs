use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anvilhub_coord::border::upstream::{SubAnswer, SubRequest};
use anvilhub_coord::ids::ByteSize;
use crossbeam::utils::CachePadded;
use tokio::time::timeout;

use crate::DaemonSettings;

use super::{PoolError, Result, UpstreamConnection};

/// Number of independently locked parts of the pool.
const POOL_SHARDS: usize = 16;

type IdleConnections = HashMap<SocketAddr, Vec<UpstreamConnection>>;

/// Idle connections to all upstreams, in shards with a lock each.
pub(crate) struct UpstreamPool {
    shards: Vec<CachePadded<Mutex<IdleConnections>>>,
    connect_timeout: Duration,
    max_answer: ByteSize,
}

impl UpstreamPool {
    pub(crate) fn new(settings: &DaemonSettings) -> Self {
        Self {
            shards: (0..POOL_SHARDS).map(|_| CachePadded::default()).collect(),
            connect_timeout: settings.connect_timeout,
            max_answer: settings.max_answer,
        }
    }

    /// Sends a sub-request and waits for its answer for at most `patience`.
    pub(crate) async fn query(
        &self,
        address: SocketAddr,
        request: &SubRequest,
        patience: Duration,
    ) -> Result<SubAnswer> {
        let exchange = async {
            let mut connection = self.checkout(address).await?;
            let result = connection.query(request, self.max_answer).await;
            // A connection whose answer did not match may deliver the right one to the next request.
            if matches!(result, Ok(_) | Err(PoolError::Refused { .. })) {
                self.check_in(address, connection);
            }
            result
        };
        timeout(patience, exchange)
            .await
            .unwrap_or(Err(PoolError::Timeout { address }))
    }

    async fn checkout(&self, address: SocketAddr) -> Result<UpstreamConnection> {
        while let Some(connection) = self.pop_idle(address) {
            if connection.is_usable() {
                return Ok(connection);
            }
        }
        let opening = timeout(self.connect_timeout, UpstreamConnection::open(address)).await;
        opening.unwrap_or_else(|_| {
            Err(PoolError::Unconnected {
                address,
                reason: "connecting timed out".to_owned(),
            })
        })
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        self.with_shard(address, |idle| idle.get_mut(&address)?.pop())
    }

    fn check_in(&self, address: SocketAddr, connection: UpstreamConnection) {
        if !connection.is_usable() {
            return;
        }
        self.with_shard(address, |idle| {
            idle.entry(address).or_default().push(connection)
        });
    }

    fn with_shard<T>(&self, address: SocketAddr, act: impl FnOnce(&mut IdleConnections) -> T) -> T {
        let mut hasher = DefaultHasher::new();
        address.hash(&mut hasher);
        let index = hasher.finish() as usize % self.shards.len();
        let mut idle = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut idle)
    }
}
