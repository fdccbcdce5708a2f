use anvilhub_coord::fleet::MemberGossip;
use serde::{Deserialize, Serialize};

/// Answer of an instance to another one that sent it member information.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeAnswer {
    /// The members that the answering instance knows, including itself.
    #[serde(rename = "notes")]
    pub(crate) members: Vec<MemberGossip>,
    /// Whether the answering instance has the platform's values and considers the platform reachable.
    #[serde(rename = "has_news")]
    pub(crate) is_feed_current: bool,
}
