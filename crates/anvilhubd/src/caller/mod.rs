//! HTTP server for callers.

mod caller_handler;
mod caller_server;
mod query_handler;
mod server_limits;
mod unreadable_query;

pub(crate) use caller_handler::CallerHandler;
pub(crate) use caller_server::CallerServer;
pub(crate) use query_handler::QueryHandler;
pub(crate) use server_limits::{GREETING, ServerLimits};
use unreadable_query::UnreadableQuery;
