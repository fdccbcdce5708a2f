//! Messages between instances, over JSON-RPC.

mod batch_message;
mod forward_message;
mod peer_api;
mod peer_clients;
mod peer_error;

pub(crate) use batch_message::{BatchAnswer, BatchItem, BatchMessage, BatchOutcome};
pub(crate) use forward_message::ForwardMessage;
pub(crate) use peer_api::{PeerApiClient, PeerApiServer};
pub(crate) use peer_clients::PeerClients;
pub(crate) use peer_error::PeerError;

/// Result of a call to another instance.
pub(crate) type Result<T, E = PeerError> = std::result::Result<T, E>;
