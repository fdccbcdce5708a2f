use anvilhub_coord::fleet::MemberGossip;
use serde::{Deserialize, Serialize};

/// Answer to an exchange of member information.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeAnswer {
    /// The members that the answering instance knows, with itself.
    #[serde(rename = "notes")]
    pub(crate) members: Vec<MemberGossip>,
    /// Whether the answering instance has current values of the platform to pass on.
    #[serde(rename = "has_news")]
    pub(crate) is_feed_current: bool,
}
