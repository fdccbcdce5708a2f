use anvilhub_coord::fleet::{FeedUpdate, MemberGossip, MemberInfo};
use anvilhub_coord::ids::PlatformRevision;
use serde::{Deserialize, Serialize};

/// Asks a reader for news of the platform. The answer comes at once when there are any, else after the wait.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowCall {
    /// The instance that asks.
    pub(crate) own: MemberInfo,
    /// The revision up to which it knows everything.
    pub(crate) after: Option<PlatformRevision>,
    /// Whether it takes the platform for lost.
    pub(crate) is_platform_lost: bool,
    /// Whether the answer should name other instances.
    pub(crate) wants_notes: bool,
    pub(crate) wait_ms: u64,
}

/// News of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowAnswer {
    /// The instance that answers.
    pub(crate) own: MemberInfo,
    pub(crate) news: Option<FeedUpdate>,
    /// Time since the platform answered last; none before its first answer.
    pub(crate) platform_age_ms: Option<u64>,
    /// Whether the platform's last answer is overdue.
    pub(crate) is_platform_lost: bool,
    /// Time since the platform was last found to be away.
    pub(crate) away_age_ms: Option<u64>,
    /// Other instances, when they were asked for.
    pub(crate) notes: Vec<MemberGossip>,
}
