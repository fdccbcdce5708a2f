use serde::{Deserialize, Serialize};

use super::MemberInfo;

/// A note as it passes between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberGossip {
    /// The note.
    pub note: MemberInfo,
    /// Time since some instance heard it from the member itself, in milliseconds.
    pub age_ms: u64,
}
