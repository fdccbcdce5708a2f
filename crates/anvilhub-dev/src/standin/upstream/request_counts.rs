use std::collections::BTreeMap;

use anvilhub_coord::border::upstream::RefusalReason;
use serde::{Deserialize, Serialize};

/// Counts of the requests, faults and connections of a replica since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sub-requests received.
    pub received: u64,
    /// Sub-requests that ran to completion.
    pub ran: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Cancel requests whose sub-request was running or queued.
    pub cancelled: u64,
    /// Cancel requests whose sub-request was unknown.
    pub cancel_missed: u64,
    /// Requests or answers that were lost on silent connections.
    pub silenced: u64,
    /// Answers into which a fault was injected.
    pub faulty: u64,
    /// Connections accepted.
    pub opened: u64,
    /// Connections closed because the connection limit was reached.
    pub over_limit: u64,
    /// Maximum number of connections that were open at once.
    #[serde(rename = "most_open")]
    pub max_open: u64,
}
