use anvilhub_coord::border::query::QueryRequest;
use anvilhub_coord::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// A ticketed request on its way to the ticket's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardMessage {
    /// Instance that the caller reached.
    pub(crate) from: InstanceId,
    /// The request; its `deadline_ms` is what remained when it was forwarded.
    pub(crate) query: QueryRequest,
}
