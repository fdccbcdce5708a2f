use anvilhub_coord::border::query::QueryRequest;
use anvilhub_coord::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// A ticketed request that is forwarded to the owner of its ticket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardMessage {
    /// The instance that received the request from the caller.
    pub(crate) from: InstanceId,
    /// The request; its `deadline_ms` is the time that was left when it was forwarded.
    pub(crate) query: QueryRequest,
}
