use serde::{Deserialize, Serialize};

use super::MemberInfo;

/// What an instance passes on to another one about a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberGossip {
    /// What the member announced about itself.
    #[serde(rename = "note")]
    pub info: MemberInfo,
    /// Time since the member itself sent this information to any instance, in milliseconds.
    pub age_ms: u64,
}
