//! Stand-in for the network between two processes: a TCP proxy that drops bytes, closes connections and adds delay.

mod proxied_connection;
mod proxy_command;
mod proxy_server;

pub use proxy_command::{ProxyCommand, ProxyMode};
pub use proxy_server::ProxyServer;
