//! HTTP server towards callers.

mod caller_server;
mod query_handler;

pub(crate) use caller_server::CallerServer;
pub(crate) use query_handler::QueryHandler;
