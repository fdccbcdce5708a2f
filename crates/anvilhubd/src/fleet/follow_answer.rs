use anvilhub_coord::crash::CrashNote;
use anvilhub_coord::fleet::{FeedUpdate, MemberGossip, MemberInfo};
use anvilhub_coord::ids::PlatformEra;
use anvilhub_coord::limit::LimitNote;
use serde::{Deserialize, Serialize};

/// Answer of a reader to a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowAnswer {
    /// The answering instance.
    #[serde(rename = "own")]
    pub(crate) sender: MemberInfo,
    /// The changes that the follower does not have; `None` if there are none.
    #[serde(rename = "news")]
    pub(crate) update: Option<FeedUpdate>,
    /// The era of the reader's values; `None` if it has none or runs an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<PlatformEra>,
    /// How long the reader held the call, in milliseconds; 0 from an instance of an earlier version.
    #[serde(default)]
    pub(crate) held_ms: u64,
    /// Time since the platform's last answer, in milliseconds; `None` before the first one.
    pub(crate) platform_age_ms: Option<u64>,
    /// Whether the reader considers the platform unreachable.
    #[serde(rename = "is_platform_lost")]
    pub(crate) is_platform_unreachable: bool,
    /// Time since the platform was last found unreachable, in milliseconds; `None` if it never was.
    #[serde(rename = "away_age_ms")]
    pub(crate) outage_age_ms: Option<u64>,
    /// The members that the reader knows; empty unless the call asked for them.
    #[serde(rename = "notes")]
    pub(crate) members: Vec<MemberGossip>,
    /// The limits of upstreams that the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<LimitNote>,
    /// The requests that crashed upstreams, as far as the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) crashes: Vec<CrashNote>,
}
