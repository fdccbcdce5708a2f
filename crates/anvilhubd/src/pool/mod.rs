//! Connections to upstreams.

mod pool_error;
mod upstream_connection;
mod upstream_pool;

pub(crate) use pool_error::PoolError;
pub(crate) use upstream_connection::UpstreamConnection;
pub(crate) use upstream_pool::UpstreamPool;

/// Result of sending to an upstream.
pub(crate) type Result<T, E = PoolError> = std::result::Result<T, E>;
