use anvilhub_coord::ids::{CallerName, ServiceName};
use serde::{Deserialize, Serialize};

/// Asks a peer to issue a ticket for a caller of a draining instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IssueMessage {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
}
