//! Pool of connections to upstreams.

mod answer_body;
mod answer_budget;
mod budget_reservation;
mod connection_lease;
mod connection_set;
mod connection_set_state;
mod connection_target;
mod crash_probe;
mod pool_error;
mod upstream_connection;
mod upstream_pool;

pub(crate) use answer_budget::ANSWER_BUDGET;
pub(crate) use connection_lease::ConnectionLease;
pub(crate) use connection_set::ConnectionSet;
pub(crate) use connection_target::ConnectionTarget;
pub(crate) use crash_probe::has_ended;
pub(crate) use pool_error::PoolError;
pub(crate) use upstream_connection::UpstreamConnection;
pub(crate) use upstream_pool::UpstreamPool;

/// Result of a request to an upstream.
pub(crate) type Result<T, E = PoolError> = std::result::Result<T, E>;
