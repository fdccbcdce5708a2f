//! HTTP server for callers, relayed requests and readiness checks, and the handler of callers' queries.

mod body_reader;
mod client_stream;
mod http_handler;
mod http_server;
mod query_handler;
mod server_limits;
mod unreadable_query;

pub(crate) use body_reader::{BodyError, BodyReader};
pub(crate) use http_handler::HttpHandler;
pub(crate) use http_server::HttpServer;
pub(crate) use query_handler::QueryHandler;
pub(crate) use server_limits::{GREETING, ServerLimits};
use unreadable_query::UnreadableQuery;
