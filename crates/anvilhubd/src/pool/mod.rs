//! Connections to upstreams.

mod answer_body;
mod connection_lease;
mod link_plan;
mod link_state;
mod pool_error;
mod upstream_connection;
mod upstream_link;
mod upstream_pool;

pub(crate) use connection_lease::ConnectionLease;
pub(crate) use link_plan::LinkPlan;
pub(crate) use pool_error::PoolError;
pub(crate) use upstream_connection::UpstreamConnection;
pub(crate) use upstream_link::UpstreamLink;
pub(crate) use upstream_pool::UpstreamPool;

/// Result of sending to an upstream.
pub(crate) type Result<T, E = PoolError> = std::result::Result<T, E>;
