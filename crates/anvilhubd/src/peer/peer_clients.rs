use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::Client;
use jsonrpsee::ws_client::{PingConfig, WsClientBuilder};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{MAX_MESSAGE_BYTES, PeerError, Result};

/// Maximum number of concurrent calls on the connection to one peer.
const MAX_CONCURRENT_CALLS: usize = 4_096;
/// Interval of WebSocket pings, which detect silent connections.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Connections to the peers: one WebSocket connection to each, opened when it is first used.
pub(crate) struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, Arc<Client>>>,
    connect_timeout: Duration,
}

impl PeerClients {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            clients: Mutex::default(),
            connect_timeout,
        }
    }

    /// Calls the peer at `address` and waits up to `max_wait` for its answer.
    ///
    /// A failed call may still have reached the peer. The connection is dropped unless the peer answered, so that the
    /// next call opens a new one: an open connection may be silent while new ones work.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        max_wait: Duration,
        call: impl FnOnce(Arc<Client>) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, ClientError>>,
    {
        let exchange = async {
            let client = self.client(address).await?;
            call(client)
                .await
                .map_err(|error| call_error(address, &error))
        };
        let timed_out = || PeerError::Silent {
            address,
            reason: format!("no answer within {} ms", max_wait.as_millis()),
        };
        let result = timeout(max_wait, exchange)
            .await
            .unwrap_or_else(|_| Err(timed_out()));
        if matches!(
            result,
            Err(PeerError::Silent { .. } | PeerError::Absent { .. })
        ) {
            self.lock().remove(&address);
        }
        result
    }

    /// Removes the connection to the peer at `address`; it closes after its running calls.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<Client>> {
        let known = self.lock().get(&address).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Arc::new(self.connect(address).await?);
        self.lock().insert(address, Arc::clone(&client));
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Client> {
        let silent = |reason: String| PeerError::Silent { address, reason };
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| {
                let timeout_ms = self.connect_timeout.as_millis();
                silent(format!("no connection within {timeout_ms} ms"))
            })?
            .map_err(|error| connect_error(address, &error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| silent(error.to_string()))?;
        WsClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .enable_ws_ping(
                PingConfig::new()
                    .ping_interval(PING_INTERVAL)
                    .inactive_limit(2 * PING_INTERVAL),
            )
            .build_with_stream(format!("ws://{address}"), stream)
            .await
            .map_err(|error| silent(error.to_string()))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Client>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect_error(address: SocketAddr, error: &io::Error) -> PeerError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => PeerError::Absent { address },
        _ => PeerError::Silent {
            address,
            reason: error.to_string(),
        },
    }
}

fn call_error(address: SocketAddr, error: &ClientError) -> PeerError {
    match error {
        ClientError::Call(error) => PeerError::Failed {
            address,
            reason: error.message().to_owned(),
        },
        other => PeerError::Silent {
            address,
            reason: other.to_string(),
        },
    }
}
