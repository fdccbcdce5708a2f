use anvilhub_coord::ids::{CallerName, ServiceName};
use serde::{Deserialize, Serialize};

/// Requests a ticket of a peer for a caller of a draining instance, which issues none itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IssueMessage {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
}
