use anvilhub_coord::ids::{CallerName, ServiceName};
use serde::{Deserialize, Serialize};

/// Request of a draining instance, which issues no tickets itself, that a peer issues a ticket for one of its callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IssueMessage {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
}
