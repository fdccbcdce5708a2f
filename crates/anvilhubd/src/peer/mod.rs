//! JSON-RPC between instances.

mod batch_message;
mod forward_message;
mod issue_message;
mod peer_api;
mod peer_clients;
mod peer_error;
mod peer_listener;
mod peer_server;

pub(crate) use batch_message::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome};
pub(crate) use forward_message::ForwardMessage;
pub(crate) use issue_message::IssueMessage;
pub(crate) use peer_api::{PeerApiClient, PeerApiServer};
pub(crate) use peer_clients::PeerClients;
pub(crate) use peer_error::PeerError;
pub(crate) use peer_listener::serve_peers;
pub(crate) use peer_server::PeerServer;

/// Result of a call to another instance.
pub(crate) type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Maximum size of a message between instances: a sheet of 1 MB with JSON escapes, or the answers of a batch.
const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;
