use anvilhub_coord::fleet::MemberInfo;
use anvilhub_coord::ids::PlatformRevision;
use serde::{Deserialize, Serialize};

/// Asks a reader for an update of the platform's values. The reader answers as soon as it has one, or after the wait.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowCall {
    /// The calling instance.
    #[serde(rename = "own")]
    pub(crate) sender: MemberInfo,
    /// The revision up to which it has all changes; `None` if it has no values yet.
    pub(crate) after: Option<PlatformRevision>,
    /// Whether it considers the platform unreachable.
    #[serde(rename = "is_platform_lost")]
    pub(crate) is_platform_unreachable: bool,
    /// Whether the answer should name the members that the reader knows.
    #[serde(rename = "wants_notes")]
    pub(crate) wants_members: bool,
    /// How long the reader may wait for an update, in milliseconds.
    pub(crate) wait_ms: u64,
}
