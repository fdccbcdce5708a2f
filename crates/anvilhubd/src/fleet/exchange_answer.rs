use anvilhub_coord::crash::CrashNote;
use anvilhub_coord::fleet::MemberGossip;
use anvilhub_coord::limit::LimitNote;
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
    /// The limits of upstreams that the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<LimitNote>,
    /// The requests that crashed upstreams, as far as the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) crashes: Vec<CrashNote>,
}
