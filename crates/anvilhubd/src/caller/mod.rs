//! HTTP server towards callers.

mod caller_server;
mod query_handler;
mod unread_query;

pub(crate) use caller_server::CallerServer;
pub(crate) use query_handler::QueryHandler;
use unread_query::UnreadQuery;
