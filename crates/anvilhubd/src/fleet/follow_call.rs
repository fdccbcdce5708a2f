use anvilhub_coord::crash::CrashNote;
use anvilhub_coord::fleet::MemberInfo;
use anvilhub_coord::ids::{PlatformEra, PlatformPlace, PlatformRevision};
use anvilhub_coord::limit::LimitNote;
use serde::{Deserialize, Serialize};

/// Call of a follower that asks a reader for changes of the platform's values. The reader answers as soon as it has
/// some, at the latest after `wait_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowCall {
    /// The calling instance.
    #[serde(rename = "own")]
    pub(crate) sender: MemberInfo,
    /// The revision up to which the calling instance has all changes; `None` if it has no values yet.
    pub(crate) after: Option<PlatformRevision>,
    /// The era of `after`; `None` from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<PlatformEra>,
    /// Number of values that the calling instance has; `None` from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) value_count: Option<usize>,
    /// Whether the calling instance considers the platform unreachable.
    #[serde(rename = "is_platform_lost")]
    pub(crate) is_platform_unreachable: bool,
    /// Whether the answer should name the members that the reader knows.
    #[serde(rename = "wants_notes")]
    pub(crate) wants_members: bool,
    /// Maximum time for which the reader waits for changes, in milliseconds.
    pub(crate) wait_ms: u64,
    /// The limits of upstreams that the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<LimitNote>,
    /// The requests that crashed upstreams, as far as the sender knows; none from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) crashes: Vec<CrashNote>,
}

impl FollowCall {
    /// Returns the place up to which the calling instance has all changes; `None` if it has no values yet. An instance
    /// that names no era is taken to be in that of `known`, the place of the called instance.
    pub(crate) fn place(&self, known: Option<PlatformPlace>) -> Option<PlatformPlace> {
        let known_era = known.unwrap_or_default().era;
        self.after.map(|revision| PlatformPlace {
            era: self.era.unwrap_or(known_era),
            revision,
        })
    }
}
