use anvilhub_coord::fleet::MemberGossip;
use serde::{Deserialize, Serialize};

/// What an instance knows of the others, in answer to the same from the caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeAnswer {
    pub(crate) notes: Vec<MemberGossip>,
    /// Whether the instance has news of the platform to pass on.
    pub(crate) has_news: bool,
}
