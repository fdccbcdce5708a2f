use std::io;
use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};

use super::MAX_MESSAGE_BYTES;

/// Maximum number of connections from other instances. Each peer has one, or two while it replaces a silent one.
const MAX_PEER_CONNECTIONS: u32 = 4_096;

/// Serves `methods` to other instances at `address`. The server stops when the handle is dropped.
pub(crate) async fn serve_peers(
    address: SocketAddr,
    methods: impl Into<Methods>,
) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_PEER_CONNECTIONS)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(methods))
}
